package dunlinladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The handling of a single event, which changes a state. This is the only mutable part of the watch; an instance exists
 * only during {@link WatchStateMachine#on}.
 */
final class WatchTransition {

    private final WatchTimeouts timeouts;
    private final double now;
    private final List<WatchCommand> commands = new ArrayList<>();
    private WatchState state;

    /** Creates the transition from an initial state; {@code now} is the clock time of the event in seconds. */
    WatchTransition(WatchTimeouts timeouts, WatchState initialState, double now) {
        this.timeouts = timeouts;
        this.state = initialState;
        this.now = now;
    }

    WatchState state() {
        return state;
    }

    List<WatchCommand> commands() {
        return commands;
    }

    /** Handles the event; a tick has no effect here, only in {@link #handleDeadlines}. */
    void handle(WatchEvent event) {
        if (event instanceof WatchEvent.AddressChanged changed) {
            changeAddress(changed.address());
        } else if (event instanceof WatchEvent.Connected connected) {
            find(connected.connection()).ifPresent(connection -> replace(connection.connected()));
        } else if (event instanceof WatchEvent.AnswerReceived answered) {
            find(answered.connection()).ifPresent(this::receiveAnswer);
        } else if (event instanceof WatchEvent.Heartbeat heartbeat) {
            find(heartbeat.connection()).ifPresent(this::receiveSignal);
        } else if (event instanceof WatchEvent.UpdateReceived received) {
            find(received.connection()).ifPresent(connection -> receiveUpdate(connection, received.update()));
        } else if (event instanceof WatchEvent.UnreadableUpdate unreadable) {
            find(unreadable.connection()).ifPresent(this::discardUnreadable);
        } else if (event instanceof WatchEvent.UpdateNotApplied notApplied) {
            rollBack(notApplied.previousVersion());
        } else if (event instanceof WatchEvent.Closed closed) {
            find(closed.connection()).ifPresent(this::removeClosed);
        }
    }

    /** Handles the deadlines that have passed: gives up connections, and opens one if one is needed. */
    void handleDeadlines() {
        if (state.target().address().isEmpty()) {
            return;
        }
        for (WatchConnection connection : state.connections().open()) {
            if (now >= connection.answerDeadline(timeouts)) {
                giveUp(connection);
            } else if (connection.isStaleTooLong(now, timeouts)) {
                // Discovery has restarted its version numbers: the snapshot is applied whatever its version is.
                requireSnapshot();
                close(connection);
            }
        }
        if (now >= state.nextOpenAt(timeouts)) {
            open();
        }
    }

    private void changeAddress(String address) {
        if (!state.target().isAt(address)) {
            state = state.withTarget(state.target().movedTo(address)).withRetry(new RetryState(now, 0));
        }
    }

    private void receiveAnswer(WatchConnection connection) {
        replace(connection.answered(now));
        endRace(connection);
    }

    /** Handles an update or a heartbeat: it confirms the current address, so connections to earlier ones are closed. */
    private void receiveSignal(WatchConnection connection) {
        replace(connection.streaming(now));
        endRace(connection);
        if (state.isCurrent(connection)) {
            state = state.withRetry(state.retry().succeeded())
                    .withTarget(state.target().confirmed());
            closeAll(other -> !state.isCurrent(other));
        }
    }

    /**
     * Keeps the first connection that is answered and closes the others to the current address.
     *
     * @param previous the answered connection in its state before the answer
     */
    private void endRace(WatchConnection previous) {
        if (!previous.isAnswered() && state.isCurrent(previous)) {
            closeAll(other -> other.id() != previous.id() && state.isCurrent(other));
        }
    }

    private void receiveUpdate(WatchConnection connection, EndpointUpdate update) {
        receiveSignal(connection);
        WatchConnection streaming = connection.streaming(now);
        ListPosition position = state.position();
        if (position.accepts(update, connection.requestedSnapshot())) {
            replace(streaming.caughtUp());
            commands.add(new WatchCommand.Apply(update, position.version()));
            state = state.withPosition(position.after(update));
        } else if (update.version() == position.version()) {
            replace(streaming.caughtUp());
        } else {
            replace(streaming.stale(now));
        }
    }

    /** Requests a snapshot, because the content of the unreadable update is not known. */
    private void discardUnreadable(WatchConnection connection) {
        requireSnapshot();
        close(connection);
        countFailure();
        startPause();
    }

    private void rollBack(long previousVersion) {
        state = state.withPosition(state.position().rolledBackTo(previousVersion));
        closeAll(connection -> true);
        countFailure();
        startPause();
    }

    private void removeClosed(WatchConnection connection) {
        state = state.withConnections(state.connections().removing(connection.id()));
        if (connection.isTimedOut()) {
            // Its failure was counted and its pause started when it timed out.
            return;
        }
        if (!connection.isStreaming()) {
            countFailure();
        }
        // Connections of all gateways may end at once, so there is a random pause even after updates.
        startPause();
    }

    /** Gives up a connection. If it is established, it stays open until the next one is opened: it may be answered. */
    private void giveUp(WatchConnection connection) {
        if (connection.isConnected()) {
            replace(connection.timedOut());
        } else {
            close(connection);
        }
        countFailure();
        startPause();
    }

    private void open() {
        closeAll(other -> other.isTimedOut() && state.isCurrent(other));
        WatchCommand.Open call = new WatchCommand.Open(
                state.connections().nextId(),
                state.target().address().orElseThrow(),
                state.position().since());
        double idleTimeoutSeconds = timeouts.silence().idleSeconds()
                + drawFraction() * timeouts.silence().maxJitterSeconds();
        WatchConnection connection = WatchConnection.opened(call, now, idleTimeoutSeconds);
        state = state.withConnections(state.connections().adding(connection));
        commands.add(call);
    }

    private void countFailure() {
        state = state.withRetry(state.retry().failed());
    }

    /** Starts a pause in which no connection is opened; its bound grows with the number of consecutive failures. */
    private void startPause() {
        if (state.retry().notBefore() > now) {
            // Raced calls fail one after the other; a pause for each of them would add up.
            return;
        }
        double fraction = drawFraction();
        double seconds = timeouts.backoff().pauseSeconds(state.retry().failures(), fraction);
        state = state.withRetry(state.retry().pausedUntil(now + seconds));
    }

    private double drawFraction() {
        Jitter drawn = state.jitter().next();
        state = state.withJitter(drawn);
        return drawn.fraction();
    }

    private void requireSnapshot() {
        state = state.withPosition(state.position().needingSnapshot());
    }

    private Optional<WatchConnection> find(int id) {
        return state.connections().find(id);
    }

    private void replace(WatchConnection connection) {
        state = state.withConnections(state.connections().replacing(connection));
    }

    private void close(WatchConnection connection) {
        state = state.withConnections(state.connections().removing(connection.id()));
        commands.add(new WatchCommand.Close(connection.id()));
    }

    private void closeAll(Predicate<WatchConnection> condition) {
        for (WatchConnection connection : state.connections().open()) {
            if (condition.test(connection)) {
                close(connection);
            }
        }
    }
}

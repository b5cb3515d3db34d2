package dunlinladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The work of one event on a state: the one mutable part, which lives as long as {@link WatchStateMachine#on}. */
final class WatchTransition {

    private final WatchTimeouts timeouts;
    private final double now;
    private final List<WatchCommand> commands = new ArrayList<>();
    private WatchState state;

    /** Begins at a state; {@code now} is the clock time of the event in seconds. */
    WatchTransition(WatchTimeouts timeouts, WatchState before, double now) {
        this.timeouts = timeouts;
        this.state = before;
        this.now = now;
    }

    WatchState state() {
        return state;
    }

    List<WatchCommand> commands() {
        return commands;
    }

    /** Does what the event asks for; a tick asks for nothing but {@link #meetDeadlines}. */
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

    /** Does what time alone asks for: gives up connections that are due, opens one where it is wanted. */
    void meetDeadlines() {
        if (state.target().address().isEmpty()) {
            return;
        }
        for (WatchConnection connection : state.connections().open()) {
            if (now >= connection.answerDeadline(timeouts)) {
                giveUp(connection);
            } else if (connection.isStaleTooLong(now, timeouts)) {
                // Discovery has begun to count anew: the snapshot is taken whatever its version is.
                needSnapshot();
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

    /** An update or a heartbeat has come: the address is good, and connections to the one before are left. */
    private void receiveSignal(WatchConnection connection) {
        replace(connection.streaming(now));
        endRace(connection);
        if (state.isCurrent(connection)) {
            state = state.withRetry(state.retry().succeeded())
                    .withTarget(state.target().confirmed());
            closeAll(other -> !state.isCurrent(other));
        }
    }

    /** The first connection to answer stays, the others to the same address are closed. */
    private void endRace(WatchConnection before) {
        if (!before.isAnswered() && state.isCurrent(before)) {
            closeAll(other -> other.id() != before.id() && state.isCurrent(other));
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

    /** What stood in the update is not known: the snapshot says it again. */
    private void discardUnreadable(WatchConnection connection) {
        needSnapshot();
        close(connection);
        countFailure();
        pause();
    }

    private void rollBack(long previousVersion) {
        state = state.withPosition(state.position().rolledBackTo(previousVersion));
        closeAll(connection -> true);
        countFailure();
        pause();
    }

    private void removeClosed(WatchConnection connection) {
        state = state.withConnections(state.connections().removing(connection.id()));
        if (connection.isTimedOut()) {
            // Its failure was counted, and its pause drawn, when it timed out.
            return;
        }
        if (!connection.isStreaming()) {
            countFailure();
        }
        // What ends for one gateway ends for all: even after updates the pause is drawn.
        pause();
    }

    /** A call that is connected may still be answered and stays until the next one is opened. */
    private void giveUp(WatchConnection connection) {
        if (connection.isConnected()) {
            replace(connection.timedOut());
        } else {
            close(connection);
        }
        countFailure();
        pause();
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

    /** No connection is opened for a while, the longer the more calls in a row failed. */
    private void pause() {
        if (state.retry().notBefore() > now) {
            // Calls that were raced fail one after the other; a pause for each would add up.
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

    private void needSnapshot() {
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

    private void closeAll(Predicate<WatchConnection> which) {
        for (WatchConnection connection : state.connections().open()) {
            if (which.test(connection)) {
                close(connection);
            }
        }
    }
}

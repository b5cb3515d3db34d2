package dunlinladder.membership;

import java.util.List;

/**
 * How a gateway watches the engine list, as a pure function of state, event and time: which connections to discovery
 * are open, which updates are applied and in which order, and when to try again. It does no I/O and reads no clock;
 * whoever drives it carries out the {@link WatchCommand}s and reports the {@link WatchEvent}s. A state machine never
 * changes: each event gives a new one.
 *
 * <p>What it guards against:
 *
 * <ul>
 *   <li>A change of the address while updates are on their way: the old connection is read until something has come
 *       from the new address.
 *   <li>An address that hangs: another connection is raced beside one that does not get connected, the first to answer
 *       stays. A call that is connected waits for its turn, as a second call would lengthen discovery's queue; where
 *       updates may be missed meanwhile (an older connection is silent, the address has changed, or discovery is an
 *       agent on this machine), a call that is not answered soon gets another one beside it.
 *   <li>An outage: a call that was not answered in time stays open until the next one is opened, so that discovery
 *       finds a call that waits for it at its return.
 *   <li>Discovery that is overloaded, and gateways that all start at once and ask again in step: there is one call at a
 *       time, with {@link Backoff} between calls.
 *   <li>Updates of two connections that overtake each other: what is not newer than what was applied is ignored, as
 *       each entry says an engine's whole state and an older one would undo a drain.
 *   <li>An update that could not be read or applied: the version does not move past it, and a snapshot is asked for.
 *   <li>Discovery that begins to count anew: where updates stay older than the list for long, a snapshot is asked for
 *       and applied whatever its version is.
 * </ul>
 */
public final class WatchStateMachine {

    private final WatchTimeouts timeouts;
    private final WatchState state;

    private WatchStateMachine(WatchTimeouts timeouts, WatchState state) {
        this.timeouts = timeouts;
        this.state = state;
    }

    /**
     * The state machine before the first event.
     *
     * @param timeouts the times by which the list is watched
     * @param version version of the list that is held already; 0 for none
     * @param seed seed of the random parts of pauses and time-outs
     */
    public static WatchStateMachine initial(WatchTimeouts timeouts, long version, long seed) {
        return new WatchStateMachine(timeouts, WatchState.initial(version, seed));
    }

    /**
     * What an event leads to.
     *
     * @param event what happened
     * @param now clock time of the event in seconds; it never runs backwards
     */
    public WatchOutcome on(WatchEvent event, double now) {
        WatchTransition transition = new WatchTransition(timeouts, state, now);
        transition.handle(event);
        transition.meetDeadlines();
        return new WatchOutcome(new WatchStateMachine(timeouts, transition.state()), transition.commands());
    }

    /** Clock time in seconds of the next {@link WatchEvent.Tick} that would do something; infinite when none would. */
    public double nextDeadline() {
        return state.nextDeadline(timeouts);
    }

    /** Whether the last call to discovery ended, or timed out, without an update or a heartbeat. */
    public boolean lastCallFailed() {
        return state.retry().failures() > 0;
    }

    /** Version of the last update that was applied; 0 for none. */
    long version() {
        return state.position().version();
    }

    /** The open connections, oldest first. */
    List<WatchConnection> connections() {
        return state.connections().open();
    }

    /** Clock time in seconds before which no connection is opened. */
    double retryNotBefore() {
        return state.retry().notBefore();
    }

    /** Whether a connection leads to the current address of discovery. */
    boolean isCurrent(WatchConnection connection) {
        return state.isCurrent(connection);
    }
}

package dunlinladder.membership;

import java.util.List;

/**
 * The watch of the engine list as a pure function of state, event and time. It decides which connections to discovery
 * are open, which updates are applied and in which order, and when to retry. It does no I/O and reads no clock. Its
 * driver executes the {@link WatchCommand}s and reports the {@link WatchEvent}s. A state machine is immutable: each
 * event returns a new one.
 *
 * <p>It handles these situations:
 *
 * <ul>
 *   <li>The address changes while updates are under way: the old connection is read until an update or a heartbeat has
 *       come from the new address.
 *   <li>The address does not respond: if a connection is not established soon, another one is opened in parallel, and
 *       the first to be answered stays. On an established connection the call waits for its answer, because a second
 *       call would lengthen discovery's queue. If updates may be missed in the meantime (an older connection is silent,
 *       the address has changed, or discovery is an agent on this machine), a second call is made when the first is not
 *       answered soon.
 *   <li>Discovery is unavailable for some time: a call that was not answered in time stays open until the next one is
 *       opened, so that discovery can answer a waiting call when it is available again.
 *   <li>Discovery is overloaded, or all gateways start at once and would retry at the same times: only one call is made
 *       at a time, with {@link Backoff} between calls.
 *   <li>Updates on two connections arrive out of order: an update that is not newer than the last applied one is
 *       ignored. Each entry contains the complete state of an engine, and an older entry would undo a drain.
 *   <li>An update cannot be read or applied: the version does not advance, and a snapshot is requested.
 *   <li>Discovery restarts its version numbers: if updates stay older than the list for long, a snapshot is requested
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
     * Creates a state machine before its first event.
     *
     * @param timeouts the times of the watch
     * @param version version of the list that the gateway already has; 0 for none
     * @param seed seed of the random parts of pauses and timeouts
     */
    public static WatchStateMachine initial(WatchTimeouts timeouts, long version, long seed) {
        return new WatchStateMachine(timeouts, WatchState.initial(version, seed));
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now clock time of the event in seconds; must not be earlier than that of the previous event
     */
    public WatchOutcome on(WatchEvent event, double now) {
        WatchTransition transition = new WatchTransition(timeouts, state, now);
        transition.handle(event);
        transition.handleDeadlines();
        return new WatchOutcome(new WatchStateMachine(timeouts, transition.state()), transition.commands());
    }

    /**
     * Returns the clock time, in seconds, of the next {@link WatchEvent.Tick} that will have an effect; infinite when
     * none will.
     */
    public double nextDeadline() {
        return state.nextDeadline(timeouts);
    }

    /** Whether the last call to discovery ended, or timed out, without an update or a heartbeat. */
    public boolean lastCallFailed() {
        return state.retry().failures() > 0;
    }

    /** Returns the version of the last update that was applied; 0 for none. */
    long version() {
        return state.position().version();
    }

    /** Returns the open connections, oldest first. */
    List<WatchConnection> connections() {
        return state.connections().open();
    }

    /** Returns the clock time, in seconds, before which no connection is opened. */
    double retryNotBefore() {
        return state.retry().notBefore();
    }

    /** Whether a connection leads to the current address of discovery. */
    boolean isCurrent(WatchConnection connection) {
        return state.isCurrent(connection);
    }
}

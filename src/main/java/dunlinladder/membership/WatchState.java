package dunlinladder.membership;

/**
 * The whole state of a watch between two events; it never changes.
 *
 * @param target where discovery is
 * @param position how far the list is known
 * @param connections the open connections
 * @param retry what is remembered of failed calls
 * @param jitter source of the random parts of pauses and time-outs
 */
record WatchState(
        DiscoveryTarget target, ListPosition position, WatchConnections connections, RetryState retry, Jitter jitter) {

    static WatchState initial(long version, long seed) {
        return new WatchState(
                DiscoveryTarget.UNKNOWN,
                new ListPosition(version, false),
                WatchConnections.NONE,
                RetryState.INITIAL,
                new Jitter(seed));
    }

    boolean isCurrent(WatchConnection connection) {
        return target.isAt(connection.address());
    }

    /** Clock time in seconds of the next tick that would do something; infinite when none would. */
    double nextDeadline(WatchTimeouts timeouts) {
        double deadline = nextOpenAt(timeouts);
        for (WatchConnection connection : connections.open()) {
            deadline = Math.min(deadline, connection.answerDeadline(timeouts));
            deadline = Math.min(deadline, connection.staleDeadline(timeouts));
        }
        return deadline;
    }

    /**
     * Clock time in seconds at which another connection to the current address is wanted: after a pause where there is
     * none that could still be answered in time, beside one that does not get connected, beside one that has fallen
     * silent, and beside a call that waits while updates may be missed. Infinite where none is wanted.
     */
    double nextOpenAt(WatchTimeouts timeouts) {
        if (target.address().isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        boolean mayMissUpdates = mayMissUpdates(timeouts);
        double openAt = retry.notBefore();
        int count = 0;
        for (WatchConnection connection : connections.open()) {
            if (isCurrent(connection) && !connection.isTimedOut()) {
                count++;
                openAt = Math.max(openAt, connection.backupDueAt(timeouts, mayMissUpdates));
            }
        }
        return count >= timeouts.connect().maxConnections() ? Double.POSITIVE_INFINITY : openAt;
    }

    /**
     * Whether updates may be missed while a call waits for its answer: an older connection has fallen silent or leads
     * to the address before, the address has changed, or the agent on this machine may know more than it has sent.
     */
    private boolean mayMissUpdates(WatchTimeouts timeouts) {
        return timeouts.localAgent() || target.unconfirmed() || connections.anyAnswered();
    }

    WatchState withTarget(DiscoveryTarget next) {
        return new WatchState(next, position, connections, retry, jitter);
    }

    WatchState withPosition(ListPosition next) {
        return new WatchState(target, next, connections, retry, jitter);
    }

    WatchState withConnections(WatchConnections next) {
        return new WatchState(target, position, next, retry, jitter);
    }

    WatchState withRetry(RetryState next) {
        return new WatchState(target, position, connections, next, jitter);
    }

    WatchState withJitter(Jitter next) {
        return new WatchState(target, position, connections, retry, next);
    }
}

package dunlinladder.membership;

/**
 * The complete, immutable state of a watch between two events.
 *
 * @param target the address of discovery
 * @param position the version of the list that was reached
 * @param connections the open connections
 * @param retry the state of retries after failed calls
 * @param jitter generator of the random parts of pauses and timeouts
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

    /** Returns the clock time, in seconds, of the next tick that will have an effect; infinite when none will. */
    double nextDeadline(WatchTimeouts timeouts) {
        double deadline = nextOpenAt(timeouts);
        for (WatchConnection connection : connections.open()) {
            deadline = Math.min(deadline, connection.answerDeadline(timeouts));
            deadline = Math.min(deadline, connection.staleDeadline(timeouts));
        }
        return deadline;
    }

    /**
     * Returns the clock time, in seconds, at which another connection to the current address is to be opened; infinite
     * when none is needed. Another connection is opened after a pause when no call can still be answered in time. It is
     * also opened in addition to a connection that is not established, to one that has become silent, and to a call
     * that waits for its answer while updates may be missed.
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
     * Whether updates may be missed while a call waits for its answer: an older connection has become silent or leads
     * to the previous address, the address has changed, or the agent on this machine may have updates that it has not
     * sent.
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

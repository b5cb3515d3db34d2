package dunlinladder.membership;

import java.util.OptionalDouble;

/**
 * The state of a connection to discovery and of the call on it. It is immutable; methods return the connection in its
 * next state. Times are clock times in seconds.
 *
 * @param call the command that opened the connection: its number, its address and the version after which it requests
 *     updates
 * @param phase progress of the connection
 * @param lastSignalAt time at which the connection was opened; once its answer has begun, time of the last data
 * @param idleTimeoutSeconds time without data, once its answer has begun, after which a second connection is opened
 * @param staleSince time since which its updates have been older than the current list; empty when they are not
 */
record WatchConnection(
        WatchCommand.Open call,
        Phase phase,
        double lastSignalAt,
        double idleTimeoutSeconds,
        OptionalDouble staleSince) {

    /** Progress of a connection. */
    enum Phase {
        /** The TCP connection is not established yet. */
        CONNECTING,
        /** The call was sent and is not answered yet. */
        AWAITING_ANSWER,
        /** No answer came in time. The connection stays open until the next one is opened: it may still be answered. */
        TIMED_OUT,
        /** The answer has begun, but neither an update nor a heartbeat has come. */
        ANSWERED,
        /** Updates or heartbeats have come. */
        STREAMING
    }

    static WatchConnection opened(WatchCommand.Open call, double now, double idleTimeoutSeconds) {
        return new WatchConnection(call, Phase.CONNECTING, now, idleTimeoutSeconds, OptionalDouble.empty());
    }

    /** Returns the number of the connection. */
    int id() {
        return call.connection();
    }

    /** Returns the host and port of discovery. */
    String address() {
        return call.address();
    }

    /** Returns the version after which the call requests updates; 0 when it requests a snapshot. */
    long since() {
        return call.since();
    }

    /** Whether the call requests a snapshot. */
    boolean requestedSnapshot() {
        return since() == 0;
    }

    /** Whether the TCP connection is established. */
    boolean isConnected() {
        return phase != Phase.CONNECTING;
    }

    /** Whether the answer has begun. */
    boolean isAnswered() {
        return phase == Phase.ANSWERED || phase == Phase.STREAMING;
    }

    /** Whether the call was not answered in time and has not been answered since. */
    boolean isTimedOut() {
        return phase == Phase.TIMED_OUT;
    }

    /** Whether an update or a heartbeat has come. */
    boolean isStreaming() {
        return phase == Phase.STREAMING;
    }

    WatchConnection connected() {
        return phase == Phase.CONNECTING ? with(Phase.AWAITING_ANSWER, lastSignalAt) : this;
    }

    WatchConnection timedOut() {
        return with(Phase.TIMED_OUT, lastSignalAt);
    }

    WatchConnection answered(double now) {
        return with(isStreaming() ? Phase.STREAMING : Phase.ANSWERED, now);
    }

    WatchConnection streaming(double now) {
        return with(Phase.STREAMING, now);
    }

    /** Returns the connection after an update that was older than the current list. */
    WatchConnection stale(double now) {
        return staleSince.isPresent() ? this : withStaleSince(OptionalDouble.of(now));
    }

    /** Returns the connection after an update that was as new as the current list or newer. */
    WatchConnection caughtUp() {
        return withStaleSince(OptionalDouble.empty());
    }

    /** Returns when the connection is given up if it is not answered; infinite once it was answered or given up. */
    double answerDeadline(WatchTimeouts timeouts) {
        return switch (phase) {
            case CONNECTING -> lastSignalAt + timeouts.connect().giveUpSeconds();
            case AWAITING_ANSWER -> lastSignalAt + timeouts.answer().giveUpSeconds();
            case TIMED_OUT, ANSWERED, STREAMING -> Double.POSITIVE_INFINITY;
        };
    }

    /** Returns when the updates will have been older than the list for too long; infinite when they are not older. */
    double staleDeadline(WatchTimeouts timeouts) {
        return staleSince.isPresent()
                ? staleSince.getAsDouble() + timeouts.staleListSeconds()
                : Double.POSITIVE_INFINITY;
    }

    /** Whether the updates have been older than the list for too long. */
    boolean isStaleTooLong(double now, WatchTimeouts timeouts) {
        return staleSince.isPresent() && now - staleSince.getAsDouble() >= timeouts.staleListSeconds();
    }

    /**
     * Returns when a second connection is to be opened in addition to this one; infinite when none is needed.
     *
     * @param mayMissUpdates whether updates may be missed while the call waits for an answer
     */
    double backupDueAt(WatchTimeouts timeouts, boolean mayMissUpdates) {
        return switch (phase) {
            case CONNECTING -> lastSignalAt + timeouts.connect().raceSeconds();
            case AWAITING_ANSWER ->
                mayMissUpdates ? lastSignalAt + timeouts.answer().backupSeconds() : Double.POSITIVE_INFINITY;
            case ANSWERED, STREAMING -> lastSignalAt + idleTimeoutSeconds;
            case TIMED_OUT -> Double.POSITIVE_INFINITY;
        };
    }

    private WatchConnection with(Phase next, double signalAt) {
        return new WatchConnection(call, next, signalAt, idleTimeoutSeconds, staleSince);
    }

    private WatchConnection withStaleSince(OptionalDouble since) {
        return new WatchConnection(call, phase, lastSignalAt, idleTimeoutSeconds, since);
    }
}

package dunlinladder.membership;

import java.util.OptionalDouble;

/**
 * One connection to discovery with the call on it, as far as the watch knows it. It never changes; each method gives
 * the connection as it is after something happened. Times are clock times in seconds.
 *
 * @param call the command that opened it: its number, its address and the version after which it wants updates
 * @param phase how far it has come
 * @param lastSignalAt when it was opened; once its answer has begun, when something last came
 * @param idleTimeoutSeconds silence, once its answer has begun, after which another connection is opened beside it
 * @param staleSince since when its updates have been older than the list that is held; empty where they are not
 */
record WatchConnection(
        WatchCommand.Open call,
        Phase phase,
        double lastSignalAt,
        double idleTimeoutSeconds,
        OptionalDouble staleSince) {

    /** How far a connection has come. */
    enum Phase {
        /** The TCP connection is not established yet. */
        CONNECTING,
        /** The call is sent and waits for its answer. */
        AWAITING_ANSWER,
        /** No answer came in time; it stays open until the next connection is opened, as it may still be answered. */
        TIMED_OUT,
        /** The answer has begun, and neither an update nor a heartbeat has come. */
        ANSWERED,
        /** Updates or heartbeats have come. */
        STREAMING
    }

    static WatchConnection opened(WatchCommand.Open call, double now, double idleTimeoutSeconds) {
        return new WatchConnection(call, Phase.CONNECTING, now, idleTimeoutSeconds, OptionalDouble.empty());
    }

    /** The number of the connection. */
    int id() {
        return call.connection();
    }

    /** Host and port that it leads to. */
    String address() {
        return call.address();
    }

    /** The version after which it wants updates; 0 where it asked for a snapshot. */
    long since() {
        return call.since();
    }

    /** Whether it asked for a snapshot. */
    boolean requestedSnapshot() {
        return since() == 0;
    }

    /** Whether the TCP connection is established. */
    boolean isConnected() {
        return phase != Phase.CONNECTING;
    }

    /** Whether its answer has begun. */
    boolean isAnswered() {
        return phase == Phase.ANSWERED || phase == Phase.STREAMING;
    }

    /** Whether it was not answered in time and has not been answered since. */
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

    /** After an update that was older than the list that is held. */
    WatchConnection stale(double now) {
        return staleSince.isPresent() ? this : withStaleSince(OptionalDouble.of(now));
    }

    /** After an update that was as new as the list that is held, or newer. */
    WatchConnection caughtUp() {
        return withStaleSince(OptionalDouble.empty());
    }

    /** When it is given up unless it is answered; infinite where it has been answered or given up. */
    double answerDeadline(WatchTimeouts timeouts) {
        return switch (phase) {
            case CONNECTING -> lastSignalAt + timeouts.connect().giveUpSeconds();
            case AWAITING_ANSWER -> lastSignalAt + timeouts.answer().giveUpSeconds();
            case TIMED_OUT, ANSWERED, STREAMING -> Double.POSITIVE_INFINITY;
        };
    }

    /** When its updates have been older than the list for too long; infinite where they are not older. */
    double staleDeadline(WatchTimeouts timeouts) {
        return staleSince.isPresent()
                ? staleSince.getAsDouble() + timeouts.staleListSeconds()
                : Double.POSITIVE_INFINITY;
    }

    /** Whether its updates have been older than the list for too long. */
    boolean isStaleTooLong(double now, WatchTimeouts timeouts) {
        return staleSince.isPresent() && now - staleSince.getAsDouble() >= timeouts.staleListSeconds();
    }

    /**
     * When another connection is wanted beside it; infinite where none is.
     *
     * @param mayMissUpdates whether updates may be missed while its call waits for an answer
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

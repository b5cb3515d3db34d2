package dunlinladder.membership;

/**
 * The times of the watch of the engine list. docs/membership.md adds them up term by term.
 *
 * @param connect time limits for establishing a connection
 * @param answer time limits for the answer to a call
 * @param silence when an answered connection counts as silent
 * @param backoff pauses between calls
 * @param staleListSeconds time for which updates that are older than the current list are ignored; after it discovery
 *     is assumed to have restarted its version numbers; over 0
 * @param localAgent whether discovery is an agent on this machine. Such an agent answers at once and at no cost. An
 *     update counts as received as soon as the agent has it, so updates may be missed while any call waits
 */
public record WatchTimeouts(
        Connect connect, Answer answer, Silence silence, Backoff backoff, double staleListSeconds, boolean localAgent) {

    /** Protocol: seconds between the heartbeats of a watch while nothing changes. */
    private static final double HEARTBEAT_INTERVAL_SECONDS = 2;
    /** Protocol: seconds after which an update that a watch or a call missed counts as received. */
    private static final double UPDATE_DUE_SECONDS = 6;
    /** Maximum transmission delay of a heartbeat, in seconds. */
    private static final double HEARTBEAT_DELAY_SECONDS = 0.5;
    /** Maximum random part of the idle timeout, in seconds; as long as the maximum delay of a heartbeat. */
    private static final double MAX_JITTER_SECONDS = HEARTBEAT_DELAY_SECONDS;
    /** Seconds without an update or a heartbeat after which a connection is silent. */
    private static final double SILENCE_SECONDS = HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_DELAY_SECONDS;
    /** Steps after a silence: a lost call, the answer to a second call, and its delivery to the routing policy. */
    private static final int STEPS_AFTER_SILENCE = 3;
    /** Duration of each of these steps in seconds; therefore also the time after which a second call is made. */
    private static final double BACKUP_SECONDS =
            (UPDATE_DUE_SECONDS - SILENCE_SECONDS - MAX_JITTER_SECONDS) / STEPS_AFTER_SILENCE;
    /** Maximum seconds until an answer comes, and maximum seconds for its delivery to the routing policy. */
    private static final double DELIVERY_SECONDS = 1;
    /** Maximum pause between calls, in seconds. */
    private static final double MAX_PAUSE_SECONDS = DELIVERY_SECONDS;
    /**
     * Seconds after which a call without an answer is given up: the time until the update is due, minus two pauses, the
     * wait for the next answer, and the delivery of its update to the routing policy.
     */
    private static final double ANSWER_SECONDS = UPDATE_DUE_SECONDS - 2 * MAX_PAUSE_SECONDS - 2 * DELIVERY_SECONDS;
    /** Bound of the pause after an answered call, in seconds. */
    private static final double INITIAL_PAUSE_SECONDS = 0.2;
    /** Seconds after which a second connection is opened in parallel to one that is not established. */
    private static final double RACE_SECONDS = 0.3;
    /** Maximum number of connections to one address. */
    private static final int MAX_CONNECTIONS = 3;
    /** Seconds for which updates that are older than the current list are ignored before a snapshot is requested. */
    private static final double STALE_LIST_SECONDS = 10;
    /** Minimum drain grace period in seconds; a shorter one cannot be kept, however often discovery is called. */
    private static final double MIN_DRAIN_GRACE_SECONDS = 0.2;
    /** Divisor of the drain grace period: a second call is made after half of it. */
    private static final int DRAIN_GRACE_BACKUP_DIVISOR = 2;
    /** Divisor of the drain grace period: a quarter is the maximum pause, another quarter is left for the answer. */
    private static final int DRAIN_GRACE_PAUSE_DIVISOR = 4;

    /**
     * Time limits for establishing a connection.
     *
     * @param raceSeconds time after which a second connection is opened in parallel to one that is not established;
     *     over 0
     * @param giveUpSeconds time after which a connection that is not established is closed; over {@code raceSeconds}
     * @param maxConnections maximum number of connections to one address, at least 2
     */
    public record Connect(double raceSeconds, double giveUpSeconds, int maxConnections) {

        private static final int MIN_CONNECTIONS = 2;

        /** Checks the bounds. */
        public Connect {
            InvalidWatchTimeoutsException.require(raceSeconds > 0, "raceSeconds must be over 0", raceSeconds);
            InvalidWatchTimeoutsException.require(
                    giveUpSeconds > raceSeconds, "giveUpSeconds must be over raceSeconds", giveUpSeconds);
            InvalidWatchTimeoutsException.require(
                    maxConnections >= MIN_CONNECTIONS, "maxConnections must be 2 or more", maxConnections);
        }
    }

    /**
     * Time limits for the answer to a call.
     *
     * @param backupSeconds time after which a second call is made if updates may be missed in the meantime; over 0
     * @param giveUpSeconds time after which a call counts as failed; until then it may be waiting in discovery's queue,
     *     which another call would only lengthen
     */
    public record Answer(double backupSeconds, double giveUpSeconds) {

        /** Checks the bounds. */
        public Answer {
            InvalidWatchTimeoutsException.require(backupSeconds > 0, "backupSeconds must be over 0", backupSeconds);
            InvalidWatchTimeoutsException.require(giveUpSeconds > 0, "giveUpSeconds must be over 0", giveUpSeconds);
        }
    }

    /**
     * Time limits after which an answered connection counts as silent.
     *
     * @param idleSeconds time without an update or a heartbeat after which a second connection is opened; over 0
     * @param maxJitterSeconds maximum random time that is added to it, so that gateways do not all call at the same
     *     time; 0 or more
     */
    public record Silence(double idleSeconds, double maxJitterSeconds) {

        /** Checks the bounds. */
        public Silence {
            InvalidWatchTimeoutsException.require(idleSeconds > 0, "idleSeconds must be over 0", idleSeconds);
            InvalidWatchTimeoutsException.require(
                    maxJitterSeconds >= 0, "maxJitterSeconds must be 0 or more", maxJitterSeconds);
        }
    }

    /** Checks the bounds that concern more than one group. */
    public WatchTimeouts {
        InvalidWatchTimeoutsException.require(
                answer.giveUpSeconds >= connect.giveUpSeconds,
                "answer.giveUpSeconds must not be under connect.giveUpSeconds",
                answer.giveUpSeconds);
        InvalidWatchTimeoutsException.require(
                staleListSeconds > 0, "staleListSeconds must be over 0", staleListSeconds);
    }

    /**
     * Returns times with which the bounds of the protocol are kept.
     *
     * @param pushed whether lists are pushed to an agent on this machine, which the gateway then calls
     * @param drainGraceSeconds the drain grace period, from the update of a drain until nothing new may be sent; over 0
     */
    public static WatchTimeouts of(boolean pushed, double drainGraceSeconds) {
        return pushed ? pushed(Math.max(MIN_DRAIN_GRACE_SECONDS, drainGraceSeconds)) : onRequest();
    }

    private static WatchTimeouts onRequest() {
        return build(RACE_SECONDS, new Answer(BACKUP_SECONDS, ANSWER_SECONDS), MAX_PAUSE_SECONDS, false);
    }

    /**
     * Returns times that divide the drain grace period: half of it until a second call, a quarter for a pause, the rest
     * for the answer.
     */
    private static WatchTimeouts pushed(double drainGraceSeconds) {
        double backupSeconds = Math.min(BACKUP_SECONDS, drainGraceSeconds / DRAIN_GRACE_BACKUP_DIVISOR);
        double maxPauseSeconds = Math.min(MAX_PAUSE_SECONDS, drainGraceSeconds / DRAIN_GRACE_PAUSE_DIVISOR);
        double answerSeconds = Math.min(ANSWER_SECONDS, MAX_CONNECTIONS * backupSeconds);
        double raceSeconds = Math.min(RACE_SECONDS, maxPauseSeconds);
        return build(raceSeconds, new Answer(backupSeconds, answerSeconds), maxPauseSeconds, true);
    }

    private static WatchTimeouts build(double raceSeconds, Answer answer, double maxPauseSeconds, boolean localAgent) {
        // All connections that were opened in parallel have failed by the time at which an unanswered call fails.
        double connectSeconds = answer.giveUpSeconds - (MAX_CONNECTIONS - 1) * raceSeconds;
        return new WatchTimeouts(
                new Connect(raceSeconds, connectSeconds, MAX_CONNECTIONS),
                answer,
                new Silence(SILENCE_SECONDS, MAX_JITTER_SECONDS),
                new Backoff(Math.min(INITIAL_PAUSE_SECONDS, maxPauseSeconds), maxPauseSeconds),
                STALE_LIST_SECONDS,
                localAgent);
    }
}

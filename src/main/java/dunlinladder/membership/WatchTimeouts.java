package dunlinladder.membership;

/**
 * The times by which the engine list is watched. docs/membership.md sums them term by term.
 *
 * @param connect bounds of establishing a connection
 * @param answer bounds of waiting for an answer
 * @param silence when an answered connection counts as silent
 * @param backoff pauses between calls
 * @param staleListSeconds for which updates older than the list that is held are ignored; then discovery is taken to
 *     have begun to count anew; over 0
 * @param localAgent whether discovery is an agent on this machine, which answers at once and at no cost, and whose
 *     updates count from the moment it has them: there updates may always be missed
 */
public record WatchTimeouts(
        Connect connect, Answer answer, Silence silence, Backoff backoff, double staleListSeconds, boolean localAgent) {

    /** The protocol's: seconds between the heartbeats of a watch while nothing changes. */
    private static final double HEARTBEAT_INTERVAL_SECONDS = 2;
    /** The protocol's: seconds after which an update that a watch or a call misses counts as received. */
    private static final double UPDATE_DUE_SECONDS = 6;
    /** Seconds by which a heartbeat may be late on its way. */
    private static final double HEARTBEAT_DELAY_SECONDS = 0.5;
    /** The random part of the idle time-out, in seconds: as much as a heartbeat may be late. */
    private static final double MAX_JITTER_SECONDS = HEARTBEAT_DELAY_SECONDS;
    /** Seconds without an update or a heartbeat after which a connection is silent. */
    private static final double SILENCE_SECONDS = HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_DELAY_SECONDS;
    /** Steps after a silence: a call that is lost, the answer of the one beside it, its way to the routing policy. */
    private static final int STEPS_AFTER_SILENCE = 3;
    /** Seconds of each of these steps, and so until a call gets another one beside it. */
    private static final double BACKUP_SECONDS =
            (UPDATE_DUE_SECONDS - SILENCE_SECONDS - MAX_JITTER_SECONDS) / STEPS_AFTER_SILENCE;
    /** Seconds for an answer to come, and as many for its update to be read and to reach the routing policy. */
    private static final double DELIVERY_SECONDS = 1;
    /** The longest pause between calls, in seconds. */
    private static final double MAX_PAUSE_SECONDS = DELIVERY_SECONDS;
    /** Seconds for a call that is lost: what two pauses, the next answer and its way to the policy leave. */
    private static final double ANSWER_SECONDS = UPDATE_DUE_SECONDS - 2 * MAX_PAUSE_SECONDS - 2 * DELIVERY_SECONDS;
    /** Bound of the pause after an answered call, in seconds. */
    private static final double INITIAL_PAUSE_SECONDS = 0.2;
    /** Seconds after which a connection that is not established gets another one beside it. */
    private static final double RACE_SECONDS = 0.3;
    /** Connections at once to one address. */
    private static final int MAX_CONNECTIONS = 3;
    /** Seconds of updates older than the list after which a snapshot is asked for. */
    private static final double STALE_LIST_SECONDS = 10;
    /** A drain rule under this many seconds can't be kept, however often discovery is asked. */
    private static final double MIN_STOP_SECONDS = 0.2;
    /** The part of the drain rule's time after which a call gets another one beside it. */
    private static final int STOP_PARTS_UNTIL_BACKUP = 2;
    /** The part of the drain rule's time that a pause may take; as much is left for the answer. */
    private static final int STOP_PARTS_OF_PAUSE = 4;

    /**
     * Bounds of establishing a connection.
     *
     * @param raceSeconds after which another connection is opened beside one that is not established; over 0
     * @param giveUpSeconds after which a connection that is not established is closed; over {@code raceSeconds}
     * @param maxConnections connections at once to one address, at least 2
     */
    public record Connect(double raceSeconds, double giveUpSeconds, int maxConnections) {

        private static final int MIN_CONNECTIONS = 2;

        /** Checks the bounds. */
        public Connect {
            InvalidWatchTimeoutsException.require(raceSeconds > 0, "raceSeconds over 0", raceSeconds);
            InvalidWatchTimeoutsException.require(
                    giveUpSeconds > raceSeconds, "giveUpSeconds over raceSeconds", giveUpSeconds);
            InvalidWatchTimeoutsException.require(
                    maxConnections >= MIN_CONNECTIONS, "maxConnections 2 or more", maxConnections);
        }
    }

    /**
     * Bounds of waiting for an answer.
     *
     * @param backupSeconds after which a call gets another one beside it, where updates may be missed meanwhile; over 0
     * @param giveUpSeconds after which a call counts as failed; before, it may wait for its turn, and another one would
     *     only make discovery's queue longer
     */
    public record Answer(double backupSeconds, double giveUpSeconds) {

        /** Checks the bounds. */
        public Answer {
            InvalidWatchTimeoutsException.require(backupSeconds > 0, "backupSeconds over 0", backupSeconds);
            InvalidWatchTimeoutsException.require(giveUpSeconds > 0, "giveUpSeconds over 0", giveUpSeconds);
        }
    }

    /**
     * When an answered connection counts as silent.
     *
     * @param idleSeconds without an update or a heartbeat after which another connection is opened beside it; over 0
     * @param maxJitterSeconds the most that is added to it by chance, so that gateways do not ask in step; 0 or more
     */
    public record Silence(double idleSeconds, double maxJitterSeconds) {

        /** Checks the bounds. */
        public Silence {
            InvalidWatchTimeoutsException.require(idleSeconds > 0, "idleSeconds over 0", idleSeconds);
            InvalidWatchTimeoutsException.require(
                    maxJitterSeconds >= 0, "maxJitterSeconds 0 or more", maxJitterSeconds);
        }
    }

    /** Checks the bounds that concern more than one group. */
    public WatchTimeouts {
        InvalidWatchTimeoutsException.require(
                answer.giveUpSeconds >= connect.giveUpSeconds,
                "answer.giveUpSeconds not under connect.giveUpSeconds",
                answer.giveUpSeconds);
        InvalidWatchTimeoutsException.require(staleListSeconds > 0, "staleListSeconds over 0", staleListSeconds);
    }

    /**
     * The times that keep the protocol's bounds.
     *
     * @param pushed whether lists are pushed, so that the agent of this machine is asked
     * @param stopSeconds the drain rule's: from the update of a drain until nothing new may be sent; over 0
     */
    public static WatchTimeouts of(boolean pushed, double stopSeconds) {
        return pushed ? pushed(Math.max(MIN_STOP_SECONDS, stopSeconds)) : onRequest();
    }

    private static WatchTimeouts onRequest() {
        return summed(RACE_SECONDS, new Answer(BACKUP_SECONDS, ANSWER_SECONDS), MAX_PAUSE_SECONDS, false);
    }

    /** Half of the rule's time until another call is made, a quarter for a pause, the rest for the answer. */
    private static WatchTimeouts pushed(double stopSeconds) {
        double backupSeconds = Math.min(BACKUP_SECONDS, stopSeconds / STOP_PARTS_UNTIL_BACKUP);
        double maxPauseSeconds = Math.min(MAX_PAUSE_SECONDS, stopSeconds / STOP_PARTS_OF_PAUSE);
        double answerSeconds = Math.min(ANSWER_SECONDS, MAX_CONNECTIONS * backupSeconds);
        double raceSeconds = Math.min(RACE_SECONDS, maxPauseSeconds);
        return summed(raceSeconds, new Answer(backupSeconds, answerSeconds), maxPauseSeconds, true);
    }

    private static WatchTimeouts summed(double raceSeconds, Answer answer, double maxPauseSeconds, boolean localAgent) {
        // All that are raced have failed by the time at which one that is connected would have.
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

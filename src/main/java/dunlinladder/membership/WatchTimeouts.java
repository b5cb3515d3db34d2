package dunlinladder.membership;

/**
 * The times by which the list is followed, all in seconds, and a count.
 *
 * @param raceSeconds after which a link whose connection has not come up gets a second one beside it
 * @param openSeconds after which a link whose connection has not come up is given up
 * @param answerSeconds after which a link that is connected and has not answered is given up: its call may wait in
 *     turn, and another one would only make the queue longer
 * @param turnSeconds after which a call that is connected and not answered gets another one beside it, where news may
 *     be missed meanwhile
 * @param local whether discovery is an agent on this machine, which answers at once and at no cost, and whose news
 *     counts from the moment it has it: there news may always be missed
 * @param silenceSeconds without a line or a beat after which another link is tried beside the silent one
 * @param spreadSeconds the most that is added to it by chance, so that gateways do not ask in step
 * @param retrySeconds the longest pause before an address that ended or refused a link is asked again; doubled for each
 *     call in a row that was not answered
 * @param retryMost the bound of that doubling
 * @param epochSeconds for which lists older than what is held are left aside; then discovery is taken to have begun to
 *     count anew
 * @param links links at once to one address, at least 2
 */
public record WatchTimeouts(
        double raceSeconds,
        double openSeconds,
        double answerSeconds,
        double turnSeconds,
        double silenceSeconds,
        double spreadSeconds,
        double retrySeconds,
        double retryMost,
        double epochSeconds,
        int links,
        boolean local) {

    /** Checks the figures. */
    public WatchTimeouts {
        if (!(raceSeconds > 0
                && openSeconds > raceSeconds
                && answerSeconds >= openSeconds
                && turnSeconds > 0
                && silenceSeconds > 0
                && spreadSeconds >= 0
                && retrySeconds > 0
                && retryMost >= retrySeconds
                && epochSeconds > 0
                && links >= 2)) {
            throw new IllegalArgumentException("times must be over 0, openSeconds over raceSeconds, "
                    + "answerSeconds not under it, retryMost not under retrySeconds, links 2 or more: "
                    + this);
        }
    }

    /** The pauses between calls. */
    Backoff backoff() {
        return new Backoff(retrySeconds, retryMost);
    }

    /** The protocol's: seconds between the empty lines of a watch while nothing changes. */
    private static final double BEAT = 2;
    /** The protocol's: seconds after which what a watch or a call misses counts as told. */
    private static final double TOLD = 6;
    /** Seconds by which a beat may be late on its way; the most that is added by chance is the same. */
    private static final double BEAT_LATE = 0.5;
    /** Seconds for an answer, and as many for its news to be read and to reach the decisions. */
    private static final double STEP = 1;
    /** A drain rule under this can't be kept, whatever is asked how often. */
    private static final double STOP_LEAST = 0.2;
    /** The most links to one address. */
    private static final int LINKS = 3;

    /**
     * The times that keep the protocol's bounds, which docs/membership.md sums term by term.
     *
     * @param pushed whether lists are pushed, so that the agent of this machine is asked
     * @param stopSeconds the rule's: from news of a drain until nothing new may be sent; over 0
     */
    public static WatchTimeouts of(boolean pushed, double stopSeconds) {
        double silence = BEAT + BEAT_LATE;
        double turn = (TOLD - silence - BEAT_LATE) / 3;
        // Two pauses, a call that is lost, an answer and its reading.
        double pause = STEP;
        double answer = TOLD - 2 * pause - 2 * STEP;
        // All that are raced have failed by the time at which one that is connected would have.
        double race = 0.3;
        if (!pushed) {
            return new WatchTimeouts(
                    race, answer - (LINKS - 1) * race, answer, turn, silence, BEAT_LATE, 0.2, pause, 10, LINKS, false);
        }
        // Half of the rule's time until another call is made, a quarter for a pause, the rest to hear of it.
        double stop = Math.max(STOP_LEAST, stopSeconds);
        turn = Math.min(turn, stop / 2);
        pause = Math.min(pause, stop / 4);
        race = Math.min(race, pause);
        answer = Math.min(answer, LINKS * turn);
        return new WatchTimeouts(
                race,
                answer - (LINKS - 1) * race,
                answer,
                turn,
                silence,
                BEAT_LATE,
                Math.min(0.2, pause),
                pause,
                10,
                LINKS,
                true);
    }
}

package dunlinladder.membership;

/**
 * The times by which the list is followed, all in seconds, and a count.
 *
 * @param raceSeconds    after which a link whose connection has not come up gets a second one beside it
 * @param openSeconds    after which a link whose connection has not come up is given up
 * @param answerSeconds  after which a link that is connected and has not answered is given up: its call may
 *                       wait in turn, and another one would only make the queue longer
 * @param turnSeconds    after which a call that is connected and not answered gets another one beside it,
 *                       where an older link has fallen silent or was left behind by a move
 * @param silenceSeconds without a line or a beat after which another link is tried beside the silent one
 * @param spreadSeconds  the most that is added to it by chance, so that gateways do not ask in step
 * @param retrySeconds   the longest pause before an address that ended or refused a link is asked again;
 *                       doubled for each call in a row that was not answered
 * @param retryMost      the bound of that doubling
 * @param epochSeconds   for which lists older than what is held are left aside; then discovery is taken to
 *                       have begun to count anew
 * @param links          links at once to one address, at least 2
 */
public record Timing(double raceSeconds, double openSeconds, double answerSeconds, double turnSeconds,
        double silenceSeconds, double spreadSeconds, double retrySeconds, double retryMost,
        double epochSeconds, int links) {

    /** Checks the figures. */
    public Timing {
        if (!(raceSeconds > 0 && openSeconds > raceSeconds && answerSeconds >= openSeconds
                && turnSeconds > 0 && silenceSeconds > 0 && spreadSeconds >= 0 && retrySeconds > 0
                && retryMost >= retrySeconds && epochSeconds > 0 && links >= 2)) {
            throw new IllegalArgumentException("times must be over 0, openSeconds over raceSeconds, "
                    + "answerSeconds not under it, retryMost not under retrySeconds, links 2 or more: "
                    + this);
        }
    }
}

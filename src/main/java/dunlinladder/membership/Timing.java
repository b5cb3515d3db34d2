package dunlinladder.membership;

/**
 * The times by which the list is followed, all in seconds, and a count.
 *
 * @param raceSeconds    after which a link that has not answered gets a second one beside it
 * @param openSeconds    after which a link that has not answered is given up
 * @param silenceSeconds without a line or a beat after which another link is tried beside the silent one
 * @param retrySeconds   before an address that ended or refused a link is asked again
 * @param epochSeconds   for which lists older than what is held are left aside; then discovery is taken to
 *                       have begun to count anew
 * @param links          links at once to one address, at least 2
 */
public record Timing(double raceSeconds, double openSeconds, double silenceSeconds, double retrySeconds,
        double epochSeconds, int links) {

    /** Checks the figures. */
    public Timing {
        if (!(raceSeconds > 0 && openSeconds > raceSeconds && silenceSeconds > 0 && retrySeconds > 0
                && epochSeconds > 0 && links >= 2)) {
            throw new IllegalArgumentException("times must be over 0, openSeconds over raceSeconds, links 2 "
                    + "or more: " + this);
        }
    }
}

package dunlinladder.core;

/**
 * Until when an attempt has to be out, where a KV cache waits for it at another engine. A request that was written has
 * not arrived: the network or the engine's machine may keep it. The first byte of an answer proves that it has.
 *
 * @param written clock time in seconds until which its last byte has to be written; else it ends as never sent
 * @param confirmed clock time in seconds until which the first byte of its answer has to come; else it counts as not
 *     arrived
 * @param minConfirmSeconds time that the answer has from the last byte on, whatever {@code confirmed} says, but no
 *     longer than until {@code written}
 */
public record ArrivalDeadlines(double written, double confirmed, double minConfirmSeconds) {

    /** Nothing waits for the attempt. */
    public static final ArrivalDeadlines NONE =
            new ArrivalDeadlines(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

    /** Clock time until which an attempt is to be confirmed whose last byte was written at {@code writtenAt}. */
    public double confirmedWhenWrittenAt(double writtenAt) {
        return Math.min(written, Math.max(confirmed, writtenAt + minConfirmSeconds));
    }
}

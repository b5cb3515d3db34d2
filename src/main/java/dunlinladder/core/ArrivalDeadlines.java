package dunlinladder.core;

/**
 * Deadlines for the arrival of an attempt while another engine holds a KV cache for it. A request that was written has
 * not necessarily arrived: it may still be in the network or in a buffer of the engine's machine. Only the first byte
 * of an answer proves that the request has arrived.
 *
 * @param written clock time in seconds by which the last byte of the request must be written; otherwise the attempt
 *     ends as never sent
 * @param confirmed clock time in seconds by which the first byte of the answer must come; otherwise the request counts
 *     as not arrived
 * @param minConfirmSeconds minimum time in seconds that is allowed from the last byte of the request to the first byte
 *     of the answer; it can extend {@code confirmed}, but not beyond {@code written}
 */
public record ArrivalDeadlines(double written, double confirmed, double minConfirmSeconds) {

    /** No deadlines: no KV cache is held for the attempt. */
    public static final ArrivalDeadlines NONE =
            new ArrivalDeadlines(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

    /**
     * Returns the clock time by which an attempt must be confirmed if its last byte was written at {@code writtenAt}.
     */
    public double confirmedWhenWrittenAt(double writtenAt) {
        return Math.min(written, Math.max(confirmed, writtenAt + minConfirmSeconds));
    }
}

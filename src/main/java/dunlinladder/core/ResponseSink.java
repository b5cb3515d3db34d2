package dunlinladder.core;

import java.nio.ByteBuffer;
import java.util.function.IntConsumer;

/**
 * Port to the client's side of a request. Exactly one of {@code end}, {@code cut}, {@code refuse} and {@code fail} is
 * called, once; {@code data} only before {@code end} or {@code cut}.
 */
public interface ResponseSink {

    /**
     * Passes on a piece of the engine's stream; the first one starts the answer. {@code taken} is told how many bytes
     * were written to the client, for back-pressure.
     */
    void writeEvents(ByteBuffer piece, IntConsumer taken);

    /** The stream is whole. */
    void complete();

    /** The stream broke after it had started. */
    void abortStream();

    /** Final answer: trying again is harmless; {@code retryAfter} in seconds, 0 for no advice. */
    void reject(double retryAfter);

    /** Final answer: failed, with no promise. */
    void fail(Failure why);

    /** What a failure was about. */
    enum Failure {
        ENGINE,
        TIMEOUT,
        INTERNAL,
        REQUEST
    }
}

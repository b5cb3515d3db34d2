package dunlinladder.core;

import java.nio.ByteBuffer;
import java.util.function.IntConsumer;

/**
 * Port to the client's side of a request. Exactly one of {@code complete}, {@code abortStream}, {@code reject} and
 * {@code fail} is called, once; {@code writeEvents} only before {@code complete} or {@code abortStream}.
 */
public interface ResponseSink {

    /**
     * Passes on events of the engine's stream; the first ones start the response.
     *
     * @param events whole events
     * @param onWritten gets the number of bytes each time some were written to the client, for back-pressure
     */
    void writeEvents(ByteBuffer events, IntConsumer onWritten);

    /** Final answer: the stream is complete. */
    void complete();

    /** Final answer: the stream broke after it had started. */
    void abortStream();

    /** Final answer: not served, and a retry is harmless; {@code retryAfter} in seconds, 0 for no advice. */
    void reject(double retryAfter);

    /** Final answer: failed; whether a retry is harmless is not known. */
    void fail(Failure reason);

    /** Why a request failed. */
    enum Failure {
        /** The engine or the way to it. */
        ENGINE,
        /** Nothing came in time. */
        TIMEOUT,
        /** A fault of the gateway's own. */
        INTERNAL,
        /** The engine finds the request itself at fault. */
        REQUEST
    }
}

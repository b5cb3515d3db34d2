package dunlinladder.core;

import java.nio.ByteBuffer;
import java.util.function.IntConsumer;

/**
 * Port to the client of a request. Exactly one of {@code complete}, {@code abortStream}, {@code reject} and
 * {@code fail} is called, once; {@code writeEvents} is called only before {@code complete} or {@code abortStream}.
 */
public interface ResponseSink {

    /**
     * Passes on events of the engine's stream; the first call starts the response.
     *
     * @param events complete events
     * @param onWritten called with the number of bytes after each write to the client, for back-pressure
     */
    void writeEvents(ByteBuffer events, IntConsumer onWritten);

    /** Final answer: the stream is complete. */
    void complete();

    /** Final answer: the stream was interrupted after it had started. */
    void abortStream();

    /**
     * Final answer: not served, and a retry is harmless.
     *
     * @param retryAfter seconds after which the client may retry, 0 for no advice
     */
    void reject(double retryAfter);

    /** Final answer: failed; whether a retry is harmless is not known. */
    void fail(Failure reason);

    /**
     * Whether the client has closed its connection. Looks at the connection now and does not block; a client that has
     * left is also reported by {@link Dispatcher#clientDisconnected}. Any thread may call this method at any time.
     */
    boolean hasDisconnected();

    /** Reasons for which a request failed. */
    enum Failure {
        /** The engine, or the connection to it, failed. */
        ENGINE,
        /** No answer came in time. */
        TIMEOUT,
        /** The gateway itself failed. */
        INTERNAL,
        /** The engine rejected the request as invalid. */
        REQUEST
    }
}

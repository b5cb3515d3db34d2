package dunlinladder.core;

import java.util.Optional;
import java.util.function.Consumer;

/** Port to the engines. */
public interface EngineTransport {

    /**
     * Starts an attempt.
     *
     * @param client receives the stream
     * @param listener is notified of the attempt's progress
     * @throws RuntimeException if the attempt cannot be started; in that case nothing has been sent
     */
    Call send(Attempt attempt, ResponseSink client, AttemptListener listener);

    /** Asks engines to free the KV cache of a request, whichever engine holds it; returns at once. */
    void release(String id);

    /** One attempt in flight. */
    interface Call {

        /**
         * Waits until the attempt has ended or its stream has begun; without a stream the attempt times out at its
         * first-token deadline.
         *
         * @return the outcome; empty if the stream has begun and has not ended
         */
        Optional<Outcome> awaitEndOrStream() throws InterruptedException;

        /**
         * Passes the outcome to {@code task} once the attempt has ended, on a thread of the transport. Called at most
         * once, after {@link #awaitEndOrStream} has returned empty, so that no thread waits for the end of a stream.
         */
        void onEnd(Consumer<Outcome> task);

        /** Cancels the attempt; it then ends soon. Has no effect on an attempt that has ended. */
        void cancelAttempt();

        /** Cancels the attempt unless its stream has begun; returns whether it has not begun. */
        boolean cancelUnlessStreaming();
    }
}

package dunlinladder.core;

/** Port to the engines. */
public interface EngineTransport {

    /**
     * Begins an attempt.
     *
     * @param client gets the stream
     * @param listener hears how far the attempt has come
     * @throws RuntimeException where the attempt cannot be begun; nothing has been sent then
     */
    Call send(Attempt attempt, ResponseSink client, AttemptListener listener);

    /** Tells engines to free the KV cache of a request, wherever it is held; returns at once. */
    void release(String id);

    /** One attempt in flight. */
    interface Call {

        /** Waits for the end; times out at the attempt's first-token deadline unless its stream has begun. */
        Outcome await() throws InterruptedException;

        /** Cancels the attempt; {@link #await} then returns soon. No effect on one that has ended. */
        void abandon();

        /** Cancels the attempt unless its stream has begun; whether no stream has. */
        boolean abandonUnlessStreaming();
    }
}

package dunlinladder.core;

/** Port to the engines. */
public interface EngineTransport {

    /** Starts an attempt whose stream goes to the client; {@code first} runs when the stream begins. */
    Call send(Attempt attempt, ResponseSink client, Runnable first);

    /** Lets go of everything that is held for a request, at every engine. */
    void release(String id);

    /** One attempt that is out. */
    interface Call {

        /** Waits for the end; gives up at the attempt's {@code until} unless its stream has begun. */
        Outcome await() throws InterruptedException;

        /** Gives the attempt up now. */
        void abandon();
    }
}

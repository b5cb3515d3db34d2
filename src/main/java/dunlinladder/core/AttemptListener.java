package dunlinladder.core;

/** Receives the progress of an attempt from the transport. Each method is called at most once. */
public interface AttemptListener {

    /**
     * The last byte of the request was passed to the kernel: from now on the engine may run the request. This does not
     * prove that the engine has received it.
     */
    void requestWritten();

    /** The first byte of an answer was received: the engine's process has read the request. */
    void confirmed();

    /**
     * The request was written, but its answer has not begun by the deadline in {@link ArrivalDeadlines}: the request
     * may not have arrived.
     */
    void confirmationOverdue();

    /** The stream begins; called before its first events are passed on. */
    void firstToken();
}

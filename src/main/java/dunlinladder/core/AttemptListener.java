package dunlinladder.core;

/** Hears from the transport how far an attempt has come; each call at most once. */
public interface AttemptListener {

    /**
     * The last byte of the request was handed to the kernel: from now on the attempt may run. It proves nothing of the
     * engine, to which it may still be under way.
     */
    void requestWritten();

    /** The first byte of an answer has come: the engine's process has read the request. */
    void confirmed();

    /** The request was written, and its answer has not begun by {@link ArrivalDeadlines}: it may not have arrived. */
    void confirmationOverdue();

    /** The stream begins; comes before its first events are passed on. */
    void firstToken();
}

package dunlinladder.core;

/** Hears from the transport how far an attempt has come; on threads of the transport, each at most once. */
public interface AttemptListener {

    /** The last byte of the request was written: from now on the attempt may run. */
    void requestSent();

    /** The stream begins; comes before its first events are passed on. */
    void firstToken();
}

package dunlinladder.core;

import java.util.Locale;

/** Reasons for which the {@link SendGuard} forbids the sending of an attempt. */
public enum SendRefusal {
    /** The client has left, the request has expired, or the attempt has already ended. */
    CLIENT_GONE(Counter.SENDS_REFUSED_CLIENT_GONE),
    /** The first-token deadline has passed, or the deadline for writing an attempt for which a KV cache is held. */
    TOO_LATE(Counter.SENDS_REFUSED_TOO_LATE),
    /** The request may have run and must not run again. */
    RERUN_FORBIDDEN(Counter.SENDS_REFUSED_RERUN),
    /** The engine list does not contain the engine, or lists it as draining or with another address. */
    ENGINE_NOT_ADMITTED(Counter.SENDS_REFUSED_ENGINE);

    private final Counter counter;

    SendRefusal(Counter counter) {
        this.counter = counter;
    }

    /** Returns the counter for sends that were refused for this reason. */
    Counter counter() {
        return counter;
    }

    /** Returns the name of this reason in the log. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

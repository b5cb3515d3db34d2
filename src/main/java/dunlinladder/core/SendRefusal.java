package dunlinladder.core;

import java.util.Locale;

/** Why the {@link SendGuard} does not let an attempt go out. */
public enum SendRefusal {
    /** The client has left, or the attempt has been given up. */
    CLIENT_GONE(Counter.SENDS_REFUSED_CLIENT_GONE),
    /** It could not arrive in time: for the client, or for the KV cache that waits. */
    TOO_LATE(Counter.SENDS_REFUSED_TOO_LATE),
    /** The request may have run and must not run again. */
    RERUN_FORBIDDEN(Counter.SENDS_REFUSED_RERUN),
    /** The engine list does not have the engine, or has it as draining or elsewhere. */
    ENGINE_NOT_ADMITTED(Counter.SENDS_REFUSED_ENGINE);

    private final Counter counter;

    SendRefusal(Counter counter) {
        this.counter = counter;
    }

    /** What counts it. */
    Counter counter() {
        return counter;
    }

    /** Its name in the log. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package dunlinladder.core;

import java.util.Locale;

/** The last stage that an attempt is known to have reached on its way to the engine; each includes the earlier ones. */
public enum AttemptReach {
    /** The last byte of the request was not written: the request has certainly not run. */
    UNWRITTEN,
    /** The last byte was passed to this machine's kernel; whether the engine's process has read it is not known. */
    WRITTEN,
    /** A byte of the engine's answer was received: the engine's process has read the request. */
    CONFIRMED;

    /** Returns the name of this stage in the log. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

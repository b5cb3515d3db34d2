package dunlinladder.core;

import java.util.Locale;

/** How far an attempt is known to have come on its way to the engine; each stage includes those before it. */
public enum AttemptReach {
    /** Its last byte was not written: it has certainly not run. */
    UNWRITTEN,
    /** Its last byte was handed to this machine's kernel; whether the engine's process has read it is not known. */
    WRITTEN,
    /** A byte of the engine's answer has come: its process has read the request. */
    CONFIRMED;

    /** Its name in the log. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package dunlinladder.core;

/** Formats times for headers and for the log. */
public final class Seconds {

    private static final int MILLIS_PER_SECOND = 1000;

    private Seconds() {}

    /**
     * Formats a time with three decimals; a negative time becomes 0. Does not use a {@link java.util.Formatter}, whose
     * first use takes about 20 ms.
     */
    public static String text(double seconds) {
        long millis = Math.round(Math.max(0, seconds) * MILLIS_PER_SECOND);
        // The leading 1 preserves the leading zeros of the decimals; substring removes it.
        String decimals =
                Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
        return millis / MILLIS_PER_SECOND + "." + decimals;
    }
}

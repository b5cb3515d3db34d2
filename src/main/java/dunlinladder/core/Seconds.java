package dunlinladder.core;

/** Times as headers and the log state them. */
public final class Seconds {

    private static final int MILLIS_PER_SECOND = 1000;

    private Seconds() {}

    /**
     * A time with three decimals, negative ones as 0. Written by hand: the first use of a formatter takes some 20 ms.
     */
    public static String text(double seconds) {
        long millis = Math.round(Math.max(0, seconds) * MILLIS_PER_SECOND);
        // The leading 1 keeps the zeros of the decimals and is cut off.
        String decimals =
                Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
        return millis / MILLIS_PER_SECOND + "." + decimals;
    }
}

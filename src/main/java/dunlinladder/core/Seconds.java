package dunlinladder.core;

/** Times as headers and the log state them. */
public final class Seconds {

    private Seconds() {}

    /** Seconds with three decimals, without a sign; a formatter would take its first caller some 20 ms. */
    public static String text(double seconds) {
        long millis = Math.round(Math.max(0, seconds) * 1000);
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }
}

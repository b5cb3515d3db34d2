package dunlinladder.it;

/**
 * What an engine of the soak saw, as one line of its output.
 *
 * @param nanos {@link System#nanoTime}, which all processes of one machine share
 * @param kind what happened
 * @param requestId of which request
 * @param engine where
 * @param timeoutSeconds the time that an attempt stated, 0 for other events
 */
record SoakEvent(long nanos, Kind kind, String requestId, String engine, double timeoutSeconds) {

    private static final String MARK = "soak-event";
    private static final int FIELDS = 6;

    /** What can happen; the first three are seen by the link before the engine, the others by its process. */
    enum Kind {
        /** An attempt has come to the engine's machine. */
        SENT,
        /** The gateway has the first byte of the answer to an attempt. */
        ANSWERED,
        /** The gateway has closed the connection of an attempt before a byte of an answer. */
        GIVEN_UP,
        /** A prefill has arrived in full. */
        PREFILL_BEGUN,
        /** A prefill has ended, its KV cache is held. */
        PREFILLED,
        /** A prefill was stopped; nothing is held. */
        PREFILL_DROPPED,
        /** A decode has arrived in full. */
        DECODE_BEGUN,
        /** A decode has fetched the KV cache and runs. */
        RAN,
        /** A decode ended without having fetched anything. */
        DECODE_DROPPED,
        /** A decode has found no KV cache to fetch. */
        DECODE_MISSING,
        /** A release has arrived and freed a KV cache. */
        RELEASED
    }

    String line() {
        return String.join(
                " ", MARK, Long.toString(nanos), kind.name(), requestId, engine, Double.toString(timeoutSeconds));
    }

    static boolean isEvent(String line) {
        return line.startsWith(MARK + " ") && line.split(" ").length == FIELDS;
    }

    static SoakEvent parse(String line) {
        String[] fields = line.split(" ");
        int next = 1;
        return new SoakEvent(
                Long.parseLong(fields[next++]),
                Kind.valueOf(fields[next++]),
                fields[next++],
                fields[next++],
                Double.parseDouble(fields[next]));
    }
}

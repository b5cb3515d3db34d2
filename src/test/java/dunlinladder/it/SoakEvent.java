package dunlinladder.it;

/**
 * An event at an engine of the soak. An engine prints each of its events as one line.
 *
 * @param nanos {@link System#nanoTime}, which all processes of one machine share
 * @param kind kind of the event
 * @param requestId id of the request
 * @param engine name of the engine
 * @param timeoutSeconds the timeout that an attempt states, in seconds; 0 for other events
 */
record SoakEvent(long nanos, Kind kind, String requestId, String engine, double timeoutSeconds) {

    private static final String PREFIX = "soak-event";
    private static final int FIELD_COUNT = 6;

    /** Kinds of events. The link in front of the engine sees the first three, the engine's process the others. */
    enum Kind {
        /** An attempt has reached the engine's machine. */
        SENT,
        /** The first byte of the answer to an attempt has been sent to the gateway. */
        ANSWERED,
        /** The connection of an attempt has ended before the first byte of an answer. */
        GIVEN_UP,
        /** A whole prefill request has arrived. */
        PREFILL_BEGUN,
        /** A prefill has ended; its KV cache is held. */
        PREFILLED,
        /** A prefill was stopped; no KV cache is held for it. */
        PREFILL_DROPPED,
        /** A whole decode request has arrived. */
        DECODE_BEGUN,
        /** A decode has fetched the KV cache and runs. */
        RAN,
        /** A decode has ended without fetching the KV cache. */
        DECODE_DROPPED,
        /** A decode has found no KV cache to fetch. */
        DECODE_MISSING,
        /** An engine has written its last event of a stream that it does not end. */
        STREAM_STOPPED,
        /** A release has arrived and freed a KV cache. */
        RELEASED
    }

    String line() {
        return String.join(
                " ", PREFIX, Long.toString(nanos), kind.name(), requestId, engine, Double.toString(timeoutSeconds));
    }

    static boolean isEvent(String line) {
        return line.startsWith(PREFIX + " ") && line.split(" ").length == FIELD_COUNT;
    }

    static SoakEvent parse(String line) {
        String[] fields = line.split(" ");
        int index = 1;
        return new SoakEvent(
                Long.parseLong(fields[index++]),
                Kind.valueOf(fields[index++]),
                fields[index++],
                fields[index++],
                Double.parseDouble(fields[index]));
    }
}

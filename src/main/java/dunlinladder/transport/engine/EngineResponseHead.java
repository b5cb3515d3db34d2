package dunlinladder.transport.engine;

import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;

/**
 * What the head of an engine's response tells, and what a complete response means for its attempt. The statuses and
 * what each says of whether the request has run are those of the protocol page, "Gateways to engines".
 *
 * @param status HTTP status, 0 where no response has come
 * @param notProcessed whether the engine says that the request has not run
 * @param loadReport load figures by name, often none
 */
record EngineResponseHead(int status, boolean notProcessed, Map<String, Double> loadReport) {

    /** No response has come. */
    static final EngineResponseHead NONE = new EngineResponseHead(0, false, Map.of());

    /** A stream of events follows. */
    private static final int STREAM = HttpStatus.SC_OK;

    /** A prefill engine has read the prompt and keeps its KV cache. */
    private static final int PREFILLED = HttpStatus.SC_ACCEPTED;

    /** A decode engine finds no KV cache to fetch; it has done nothing for the request. */
    private static final int KV_CACHE_MISSING = HttpStatus.SC_GONE;

    /** Queue full, draining or too many connections. */
    private static final int TURNED_AWAY = HttpStatus.SC_SERVICE_UNAVAILABLE;

    /** The request is already over. */
    private static final int EXPIRED = HttpStatus.SC_GATEWAY_TIMEOUT;

    /** Sent, with any value, where the engine has not run the request. */
    private static final String NOT_PROCESSED_HEADER = "X-Not-Processed";

    /** The note of an ending that has nothing to note. */
    private static final double NO_NOTE = 0;

    /** Reads a head. */
    static EngineResponseHead of(HttpResponse response) {
        Header load = response.getFirstHeader(EngineReportReader.LOAD_HEADER);
        return new EngineResponseHead(
                response.getCode(),
                response.containsHeader(NOT_PROCESSED_HEADER),
                EngineReportReader.loadReport(load == null ? null : load.getValue()));
    }

    /** Whether the body is a stream of events. */
    boolean isStream() {
        return status == STREAM;
    }

    /**
     * The outcome of an attempt whose response was a stream and has come to its last chunk. A stream without an event
     * says nothing of what the engine did: it counts as one that broke.
     */
    Outcome streamOutcome(boolean hadEvents, double cachedTokens, Map<String, Double> streamReport) {
        return hadEvents
                ? new Outcome(Ending.OK, cachedTokens, loadReport.isEmpty() ? streamReport : loadReport)
                : Outcome.of(Ending.RESET);
    }

    /**
     * The outcome of an attempt whose response was no stream and is complete. 202 is {@code PREFILLED}; 410 is
     * {@code FULL} with note 1; 503 and 504 prove that the request never ran only with {@code X-Not-Processed}. All
     * else is an error, after which the request may have run, or its own fault.
     *
     * @param body as much of the body as was kept
     * @param requests tells whether an error says that the request itself is at fault
     */
    Outcome outcome(String body, EngineRequestFactory requests) {
        return switch (status) {
            case PREFILLED -> new Outcome(Ending.PREFILLED, EngineReportReader.cachedTokensOfPrefill(body), loadReport);
            case KV_CACHE_MISSING -> Outcome.kvCacheMissing(loadReport);
            case TURNED_AWAY, EXPIRED -> new Outcome(notProcessed ? Ending.FULL : Ending.ERROR, NO_NOTE, loadReport);
            default ->
                new Outcome(requests.isRejection(status, body) ? Ending.REJECTED : Ending.ERROR, NO_NOTE, loadReport);
        };
    }
}

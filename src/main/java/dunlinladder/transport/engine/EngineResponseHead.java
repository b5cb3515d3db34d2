package dunlinladder.transport.engine;

import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;

/**
 * The head of an engine's response, and the outcome that a complete response means for its attempt. The platform
 * protocol specification, "Gateways to engines", defines the statuses and whether each of them proves that the request
 * has not run.
 *
 * @param status HTTP status, 0 if no response was received
 * @param notProcessed whether the engine states that the request has not run
 * @param loadReport load figures by name, often none
 */
record EngineResponseHead(int status, boolean notProcessed, Map<String, Double> loadReport) {

    /** The head if no response was received. */
    static final EngineResponseHead NONE = new EngineResponseHead(0, false, Map.of());

    /** A stream of events follows. */
    private static final int STREAM = HttpStatus.SC_OK;

    /** A prefill engine has prefilled the prompt and holds its KV cache. */
    private static final int PREFILLED = HttpStatus.SC_ACCEPTED;

    /** A decode engine finds no KV cache to fetch; it has not processed the request. */
    private static final int KV_CACHE_MISSING = HttpStatus.SC_GONE;

    /** The queue is full, the engine is draining or it has too many connections. */
    private static final int UNAVAILABLE = HttpStatus.SC_SERVICE_UNAVAILABLE;

    /** The request is already over. */
    private static final int EXPIRED = HttpStatus.SC_GATEWAY_TIMEOUT;

    /** Sent, with any value, if the engine has not run the request. */
    private static final String NOT_PROCESSED_HEADER = "X-Not-Processed";

    /** The {@code note} of an outcome that has none. */
    private static final double NO_NOTE = 0;

    /** Reads the head of a response. */
    static EngineResponseHead of(HttpResponse response) {
        Header loadHeader = response.getFirstHeader(EngineReportReader.LOAD_HEADER);
        return new EngineResponseHead(
                response.getCode(),
                response.containsHeader(NOT_PROCESSED_HEADER),
                EngineReportReader.loadReport(loadHeader == null ? null : loadHeader.getValue()));
    }

    /** Whether the body is a stream of events. */
    boolean isStream() {
        return status == STREAM;
    }

    /**
     * Returns the outcome of an attempt whose response was a stream and is complete, including the event that completes
     * it and its last chunk. A stream without an event does not show what the engine did, so it counts as broken.
     */
    Outcome streamOutcome(boolean hadEvents, double cachedTokens, Map<String, Double> streamReport) {
        return hadEvents
                ? new Outcome(Ending.OK, cachedTokens, loadReport.isEmpty() ? streamReport : loadReport)
                : Outcome.of(Ending.RESET);
    }

    /**
     * Returns the outcome of an attempt whose response was not a stream and is complete. 202 is {@code PREFILLED}; 410
     * is {@code FULL} with note 1; 503 and 504 prove that the request never ran only with {@code X-Not-Processed}. Any
     * other status is a rejection if the request itself is at fault; otherwise it is an error, after which the request
     * may have run.
     *
     * @param body the part of the body that was kept
     * @param factory decides whether an error says that the request itself is at fault
     */
    Outcome outcome(String body, EngineRequestFactory factory) {
        return switch (status) {
            case PREFILLED -> new Outcome(Ending.PREFILLED, EngineReportReader.cachedTokensOfPrefill(body), loadReport);
            case KV_CACHE_MISSING -> Outcome.kvCacheMissing(loadReport);
            case UNAVAILABLE, EXPIRED -> new Outcome(notProcessed ? Ending.FULL : Ending.ERROR, NO_NOTE, loadReport);
            default ->
                new Outcome(factory.isRejection(status, body) ? Ending.REJECTED : Ending.ERROR, NO_NOTE, loadReport);
        };
    }
}

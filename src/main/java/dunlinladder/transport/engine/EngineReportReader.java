package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads the reports that engines send with their answers: load reports and the number of cached prompt tokens. No
 * report is needed to serve a request, so an unreadable one counts as absent.
 */
final class EngineReportReader {

    /** The name of the response header and of the stream comment that carry a load report. */
    static final String LOAD_HEADER = "X-Server-Load";

    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,15}(\\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?");

    private static final String CACHED_TOKENS = "cached_tokens";

    private EngineReportReader() {}

    /**
     * Parses a load report such as {@code inflight=7,queue=2}.
     *
     * @param text the report; null if the response has none
     * @return the load figures in the order of the report; empty if any part of the text is malformed
     */
    static Map<String, Double> loadReport(String text) {
        if (text == null || text.isBlank()) {
            return Map.of();
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            String value = pair.substring(equals + 1).trim();
            if (equals <= 0 || !NUMBER.matcher(value).matches()) {
                // If one figure is malformed, the others are not trusted either.
                return Map.of();
            }
            figures.put(pair.substring(0, equals).trim(), Double.parseDouble(value));
        }
        return figures;
    }

    /**
     * Returns the number of cached tokens in the body of a prefill engine's answer; 0 if the body does not state it.
     */
    static double cachedTokensOfPrefill(String body) {
        try {
            return JsonObject.parse(body).number(CACHED_TOKENS, 0);
        } catch (InvalidInputException e) {
            return 0;
        }
    }

    /** Returns the number of cached tokens in the usage of an event, at least 0; 0 if the event does not state it. */
    static double cachedTokensOfUsage(JsonObject event) {
        try {
            JsonObject details = event.child("usage").childOrEmpty("prompt_tokens_details");
            return Math.max(0, details.number(CACHED_TOKENS, 0));
        } catch (InvalidInputException e) {
            return 0;
        }
    }
}

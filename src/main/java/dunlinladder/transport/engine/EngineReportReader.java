package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads what engines tell beside their answers: load reports, and how much of a prompt was found cached. None of it is
 * needed to serve a request, so what can't be read counts as not told.
 */
final class EngineReportReader {

    /** The header, and the comment in a stream, that carries a load report. */
    static final String LOAD_HEADER = "X-Server-Load";

    private static final Pattern FIGURE = Pattern.compile("-?[0-9]{1,15}(\\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?");

    private static final String CACHED_TOKENS = "cached_tokens";

    private EngineReportReader() {}

    /**
     * Parses a load report such as {@code inflight=7,queue=2}.
     *
     * @param text the report; null where the response has none
     * @return the figures in their order; empty if any part of the text is no figure
     */
    static Map<String, Double> loadReport(String text) {
        if (text == null || text.isBlank()) {
            return Map.of();
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            String value = pair.substring(equals + 1).trim();
            if (equals <= 0 || !FIGURE.matcher(value).matches()) {
                // What stands beside a figure that can't be read is no better.
                return Map.of();
            }
            figures.put(pair.substring(0, equals).trim(), Double.parseDouble(value));
        }
        return figures;
    }

    /** The cached tokens that a prefill engine states in its answer's body; 0 when it does not. */
    static double cachedTokensOfPrefill(String body) {
        try {
            return JsonObject.parse(body).number(CACHED_TOKENS, 0);
        } catch (InvalidInputException e) {
            return 0;
        }
    }

    /** The cached tokens in the usage of an event, at least 0; 0 where it does not say. */
    static double cachedTokensOfUsage(JsonObject event) {
        try {
            JsonObject details = event.child("usage").childOrEmpty("prompt_tokens_details");
            return Math.max(0, details.number(CACHED_TOKENS, 0));
        } catch (InvalidInputException e) {
            return 0;
        }
    }
}

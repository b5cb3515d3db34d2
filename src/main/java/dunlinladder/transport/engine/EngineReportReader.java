package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads what engines tell beside their answers: load reports and how much of a prompt was kept. */
final class EngineReportReader {

    static final String HEADER = "X-Server-Load";

    private static final Pattern FIGURE = Pattern.compile("-?[0-9]{1,15}(\\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?");

    private EngineReportReader() {}

    /** Parses {@code inflight=7,queue=2}; a text that is not all figures gives none, as does null. */
    static Map<String, Double> load(String text) {
        Map<String, Double> figures = new LinkedHashMap<>();
        for (String pair : text == null || text.isBlank() ? new String[0] : text.split(",", -1)) {
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

    /** The kept tokens that a reader states in its answer; 0 when it does not. */
    static double keptInRead(String body) {
        try {
            return JsonObject.parse(body).number("cached_tokens", 0);
        } catch (InvalidInputException e) {
            return 0;
        }
    }

    /** The kept tokens in an event's usage; 0 where it does not say. */
    static double kept(JsonObject event) {
        try {
            return Math.max(
                    0,
                    event.child("usage").childOrEmpty("prompt_tokens_details").number("cached_tokens", 0));
        } catch (InvalidInputException e) {
            return 0;
        }
    }
}

package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The chat configuration in flat form: each value is a text under the full path of its key, such as
 * {@code models.NAME.class}, so that two configurations can be compared line by line. The applied state and saved plans
 * are stored in this form. Immutable.
 *
 * @param values values by key, in the order of the keys
 */
record FlatSettings(SortedMap<String, String> values) {

    private static final String SEPARATOR = ".";

    /** Copies the map. */
    FlatSettings {
        values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
    }

    /** Returns settings without any key. */
    static FlatSettings empty() {
        return new FlatSettings(new TreeMap<>());
    }

    /** Returns settings with the given keys and values. */
    static FlatSettings of(Map<String, String> values) {
        return new FlatSettings(new TreeMap<>(values));
    }

    /**
     * Parses a TOML document into flat settings.
     *
     * @throws InvalidInputException if the text is not TOML
     */
    static FlatSettings parseToml(String text) {
        SortedMap<String, String> values = new TreeMap<>();
        flatten("", JsonObject.parseToml(text).fields(), values);
        return new FlatSettings(values);
    }

    private static void flatten(String prefix, Map<?, ?> fields, Map<String, String> values) {
        fields.forEach((name, value) -> {
            if (value instanceof Map<?, ?> table) {
                flatten(prefix + name + SEPARATOR, table, values);
            } else {
                values.put(prefix + name, String.valueOf(value));
            }
        });
    }

    /** Returns the value of a key; empty if the key is absent. */
    Optional<String> text(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /**
     * Returns the value of a required key.
     *
     * @throws InvalidInputException if the key is absent; the message names the key
     */
    String requiredText(String key) {
        return text(key).orElseThrow(() -> new InvalidInputException(key + " is missing"));
    }

    /**
     * Returns the number of a key.
     *
     * @param defaultValue returned if the key is absent; must be within the bounds too
     * @param min smallest valid number
     * @param max largest valid number
     * @throws InvalidInputException if the value is not a number or out of bounds; the message names the key
     */
    double number(String key, double defaultValue, double min, double max) {
        Optional<String> text = text(key);
        try {
            double number = text.isEmpty() ? defaultValue : Double.parseDouble(text.get());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported in the same way as a number out of bounds.
        }
        throw new InvalidInputException(
                key + " must be a number from " + min + " to " + max + ", not " + text.orElse(null));
    }

    /** Whether any key starts with {@code prefix}. */
    boolean hasKeysUnder(String prefix) {
        return values.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /**
     * Returns the distinct names below a heading: in each key, the text between the heading and the last dot. A name
     * may itself contain dots.
     */
    List<String> namesUnder(String heading) {
        return values.keySet().stream()
                .filter(key -> key.startsWith(heading + SEPARATOR) && key.lastIndexOf('.') > heading.length())
                .map(key -> key.substring(heading.length() + 1, key.lastIndexOf('.')))
                .distinct()
                .toList();
    }

    /**
     * Returns the distinct parts at position {@code index} of the keys that start with {@code prefix}; keys are split
     * at dots.
     */
    List<String> partsUnder(String prefix, int index) {
        return values.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .map(key -> key.split("\\.")[index])
                .distinct()
                .toList();
    }
}

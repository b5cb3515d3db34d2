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
 * The chat configuration in its flat form: each value as text under the path of its key, as {@code models.NAME.class},
 * so that two of them compare line by line. The applied state and saved plans hold it this way. Immutable.
 *
 * @param values value by key, in the order of the keys
 */
record FlatSettings(SortedMap<String, String> values) {

    private static final String SEPARATOR = ".";

    /** Copies the map. */
    FlatSettings {
        values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
    }

    /** Settings without a single key. */
    static FlatSettings empty() {
        return new FlatSettings(new TreeMap<>());
    }

    /** Settings of these keys and values. */
    static FlatSettings of(Map<String, String> values) {
        return new FlatSettings(new TreeMap<>(values));
    }

    /**
     * Flattens a TOML document.
     *
     * @throws InvalidInputException where the text is not TOML
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

    /** The value of a key. */
    Optional<String> text(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** The value of a key that must be there. */
    String requiredText(String key) {
        return text(key).orElseThrow(() -> new InvalidInputException(key + " is missing"));
    }

    /** A number within bounds, both included; {@code absent}, within the bounds too, where there is none. */
    double number(String key, double absent, double min, double max) {
        Optional<String> text = text(key);
        try {
            double number = text.isEmpty() ? absent : Double.parseDouble(text.get());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported like a number out of bounds.
        }
        throw new InvalidInputException(
                key + " must be a number from " + min + " to " + max + ", not " + text.orElse(null));
    }

    /** Whether any key starts so. */
    boolean hasKeysUnder(String prefix) {
        return values.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /** The names under a heading, without the last part of their keys; a name may hold dots itself. */
    List<String> namesUnder(String heading) {
        return values.keySet().stream()
                .filter(key -> key.startsWith(heading + SEPARATOR) && key.lastIndexOf('.') > heading.length())
                .map(key -> key.substring(heading.length() + 1, key.lastIndexOf('.')))
                .distinct()
                .toList();
    }

    /** The part at {@code index} of each key that starts with {@code prefix}, each once. */
    List<String> partsUnder(String prefix, int index) {
        return values.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .map(key -> key.split("\\.")[index])
                .distinct()
                .toList();
    }
}

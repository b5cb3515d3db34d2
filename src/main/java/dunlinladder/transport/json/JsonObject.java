package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A JSON object with typed look-ups whose errors name the field that is missing or has the wrong type.
 *
 * <p>A field that holds {@code null} counts as absent. Every look-up throws an {@link InvalidInputException} if the
 * field has another type. It also throws one if the field is absent, unless its doc says what is returned in that case.
 *
 * @param where the object's location in the input, which error messages name
 * @param fields the values by name, in the order of the text
 */
public record JsonObject(String where, Map<String, Object> fields) {

    /** Maximum nesting depth of a text. It bounds the memory of a text that consists of opening brackets. */
    public static final int MAX_NESTING_DEPTH = 1000;

    static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(nestedAtMost(MAX_NESTING_DEPTH))
            .build();

    /** Maximum nesting depth of a TOML document. It bounds the stack, because Jackson's TOML parser is recursive. */
    private static final int MAX_TOML_NESTING_DEPTH = 100;

    /** Maximum number of characters of an invalid text that an error message shows. */
    private static final int MAX_SHOWN_CHARACTERS = 80;
    /**
     * Whole numbers below this limit are shown without a fraction. A double represents every whole number up to it
     * exactly.
     */
    private static final double MAX_SHOWN_AS_INTEGER = 1e15;

    private static StreamReadConstraints nestedAtMost(int depth) {
        return StreamReadConstraints.builder().maxNestingDepth(depth).build();
    }

    /**
     * Parses a line that holds exactly one object.
     *
     * @throws InvalidInputException if the line holds anything else
     */
    public static JsonObject parse(String line) {
        return parse(line, "line");
    }

    /**
     * Parses a text that holds exactly one object.
     *
     * @param where the name of the text in error messages about its fields
     * @throws InvalidInputException if the text holds anything else, or is nested over {@link #MAX_NESTING_DEPTH} deep
     */
    public static JsonObject parse(String text, String where) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object: " + shorten(text));
            }
            JsonObject json = new JsonObject(where, JsonValueReader.object(parser));
            if (parser.nextToken() != null) {
                throw new InvalidInputException("more than one value on a line: " + shorten(text));
            }
            return json;
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + shorten(text));
        }
    }

    /**
     * Parses a TOML document into the same form.
     *
     * @throws InvalidInputException if the text is not valid TOML, or is nested too deeply
     */
    public static JsonObject parseToml(String text) {
        TomlFactory factory = TomlFactory.builder()
                .streamReadConstraints(nestedAtMost(MAX_TOML_NESTING_DEPTH))
                .build();
        try (JsonParser parser = factory.createParser(text)) {
            parser.nextToken();
            return new JsonObject("file", JsonValueReader.object(parser));
        } catch (IOException e) {
            throw new InvalidInputException(
                    "not TOML: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /** Returns an object as JSON text. Its values may be maps, lists, strings, numbers, booleans and null. */
    public static String write(Map<String, ?> fields) {
        return JsonWriter.write(FACTORY, fields);
    }

    private static String shorten(String text) {
        return text.length() > MAX_SHOWN_CHARACTERS ? text.substring(0, MAX_SHOWN_CHARACTERS) + "..." : text;
    }

    // ---- Values ----

    /** Whether a field is present and not null. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    private <T> T get(String name, Class<T> type) {
        Object value = fields.get(name);
        if (value == null) {
            throw new InvalidInputException("missing field '" + name + "' in " + where);
        }
        if (!type.isInstance(value)) {
            throw new InvalidInputException("field '" + name + "' in " + where + " is not a " + nameOf(type));
        }
        return type.cast(value);
    }

    private static String nameOf(Class<?> type) {
        return type == Map.class ? "object" : type.getSimpleName().toLowerCase(Locale.ROOT);
    }

    /** Returns a number that must be present. */
    public double number(String name) {
        return get(name, Number.class).doubleValue();
    }

    /** Returns a number, or {@code defaultValue} if the field is absent. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** Returns a number that must be present; its fraction is truncated. */
    public long integer(String name) {
        return get(name, Number.class).longValue();
    }

    /** Returns a number whose fraction is truncated, or {@code defaultValue} if the field is absent. */
    public long integer(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns a string that must be present. */
    public String text(String name) {
        return get(name, String.class);
    }

    /** Returns a string, or {@code defaultValue} if the field is absent. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** Returns a boolean, false if the field is absent. */
    public boolean flag(String name) {
        return has(name) && get(name, Boolean.class);
    }

    // ---- Values within bounds ----

    /** Returns a number from {@code min} to {@code max}, or {@code defaultValue} if the field is absent. */
    public double number(String name, double defaultValue, double min, double max) {
        return has(name) ? requireInRange(name, number(name), min, max) : defaultValue;
    }

    /** Returns a whole number from {@code min} to {@code max}, or {@code defaultValue} if the field is absent. */
    public int intInRange(String name, int defaultValue, int min, int max) {
        return has(name) ? intInRange(name, min, max) : defaultValue;
    }

    /** Returns a whole number from {@code min} to {@code max}; the field must be present. */
    public int intInRange(String name, int min, int max) {
        double value = requireInRange(name, number(name), min, max);
        if (value != Math.rint(value)) {
            throw new InvalidInputException(where + "." + name + " must be a whole number, not " + value);
        }
        return (int) value;
    }

    private double requireInRange(String name, double value, double min, double max) {
        if (value >= min && value <= max) {
            return value;
        }
        // Double.MIN_VALUE, the smallest double above 0, as the lower bound means "over 0".
        String lowerBound = min == Double.MIN_VALUE ? "over 0" : format(min) + " or more";
        throw new InvalidInputException(where + "." + name + " must be " + lowerBound + " and at most " + format(max)
                + ", not " + format(value));
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_SHOWN_AS_INTEGER
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /**
     * Returns the value in {@code valuesByName} for the name that a field holds, or {@code defaultValue} if the field
     * is absent. A name that is not a key of {@code valuesByName} is an error.
     */
    public <T> T choice(String name, T defaultValue, Map<String, T> valuesByName) {
        if (!has(name)) {
            return defaultValue;
        }
        String given = text(name);
        if (!valuesByName.containsKey(given)) {
            throw new InvalidInputException(where + "." + name + " must be one of "
                    + valuesByName.keySet().stream().sorted().toList() + ", not " + given);
        }
        return valuesByName.get(given);
    }

    // ---- Objects and lists ----

    /** Returns an object that must be present. */
    @SuppressWarnings("unchecked")
    public JsonObject child(String name) {
        return new JsonObject(where + "." + name, (Map<String, Object>) get(name, Map.class));
    }

    /** Returns an object, or one without fields if the field is absent. */
    public JsonObject childOrEmpty(String name) {
        return has(name) ? child(name) : new JsonObject(where + "." + name, Map.of());
    }

    /** Returns a list of objects that must be present. */
    @SuppressWarnings("unchecked")
    public List<JsonObject> children(String name) {
        List<JsonObject> children = new ArrayList<>();
        for (Object entry : get(name, List.class)) {
            if (!(entry instanceof Map)) {
                throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not an object");
            }
            children.add(new JsonObject(where + "." + name + "[" + children.size() + "]", (Map<String, Object>) entry));
        }
        return children;
    }

    /** Returns a list of numbers, empty if the field is absent. */
    public List<Double> numbers(String name) {
        if (!has(name)) {
            return new ArrayList<>();
        }
        List<Double> numbers = new ArrayList<>();
        for (Object entry : get(name, List.class)) {
            if (!(entry instanceof Number number)) {
                throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not a number");
            }
            numbers.add(number.doubleValue());
        }
        return numbers;
    }

    /** Returns a list of strings that must be present. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object entry : get(name, List.class)) {
            if (!(entry instanceof String text)) {
                throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not a string");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns the values for a list of names, which must be present and hold only keys of {@code valuesByName}. */
    public <T> List<T> choices(String name, Map<String, T> valuesByName) {
        return texts(name).stream()
                .map(text -> new JsonObject(where, Map.of(name, text)).choice(name, null, valuesByName))
                .toList();
    }

    /** Returns a list of names that must be present and hold at least one name, no blank name and no duplicates. */
    public List<String> names(String name) {
        return names(where + "." + name, texts(name));
    }

    /**
     * Checks that a list holds at least one name, no blank name and no duplicates.
     *
     * @param where the location of the list, which the error message names
     * @return the names
     */
    public static List<String> names(String where, List<String> names) {
        if (names.isEmpty()
                || names.stream().anyMatch(String::isBlank)
                || names.stream().distinct().count() < names.size()) {
            throw new InvalidInputException(
                    where + " must hold at least one name, no blank name and no duplicates: " + names);
        }
        return names;
    }

    /** Returns the locations of the fields whose names are not in {@code known}. */
    public List<String> unknown(Set<String> known) {
        return fields.keySet().stream()
                .filter(name -> !known.contains(name))
                .map(name -> where + "." + name)
                .toList();
    }
}

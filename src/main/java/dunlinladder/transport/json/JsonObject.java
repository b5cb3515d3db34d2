package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A JSON object with typed look-ups that name what is missing or of the wrong type.
 *
 * <p>A field that holds {@code null} counts as absent. Every look-up throws an {@link InvalidInputException} where the
 * field is of another type, and those without a default also where it is absent.
 *
 * @param where the object's place in the input, which stands in the message of each fault
 * @param fields the values by name, in the order of the text
 */
public record JsonObject(String where, Map<String, Object> fields) {

    static final JsonFactory FACTORY = new JsonFactory();

    /** Characters of a faulty text that are shown in a message. */
    private static final int MAX_SHOWN_CHARACTERS = 80;
    /** Below this a whole number is shown without a fraction; a double holds every whole number up to it exactly. */
    private static final double MAX_SHOWN_AS_INTEGER = 1e15;

    /**
     * Parses one line that holds one object.
     *
     * @throws InvalidInputException where it holds anything else
     */
    public static JsonObject parse(String line) {
        return parse(line, "line");
    }

    /**
     * Parses a text that holds one object.
     *
     * @param where names the text in messages about its fields
     * @throws InvalidInputException where it holds anything else
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
     * @throws InvalidInputException where it is not TOML
     */
    public static JsonObject parseToml(String text) {
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            parser.nextToken();
            return new JsonObject("file", JsonValueReader.object(parser));
        } catch (IOException e) {
            throw new InvalidInputException(
                    "not TOML: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /** The object as JSON text; values are maps, lists, strings, numbers, booleans and null. */
    public static String write(Map<String, ?> fields) {
        return JsonWriter.write(FACTORY, fields);
    }

    private static String shorten(String text) {
        return text.length() > MAX_SHOWN_CHARACTERS ? text.substring(0, MAX_SHOWN_CHARACTERS) + "..." : text;
    }

    // ---- Values ----

    /** Whether a field is there and not null. */
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

    /** A number that must be there. */
    public double number(String name) {
        return get(name, Number.class).doubleValue();
    }

    /** A number, or {@code absent} where there is none. */
    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    /** A number that must be there; a fraction is cut off. */
    public long integer(String name) {
        return get(name, Number.class).longValue();
    }

    /** A number whose fraction is cut off, or {@code absent} where there is none. */
    public long integer(String name, long absent) {
        return has(name) ? integer(name) : absent;
    }

    /** A string that must be there. */
    public String text(String name) {
        return get(name, String.class);
    }

    /** A string, or {@code absent} where there is none. */
    public String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    /** A boolean, false where there is none. */
    public boolean flag(String name) {
        return has(name) && get(name, Boolean.class);
    }

    // ---- Values within bounds ----

    /** A number within bounds, both included; {@code absent} where there is none. */
    public double number(String name, double absent, double min, double max) {
        return has(name) ? requireInRange(name, number(name), min, max) : absent;
    }

    /** A whole number within bounds, both included; {@code absent} where there is none. */
    public int intInRange(String name, int absent, int min, int max) {
        return has(name) ? intInRange(name, min, max) : absent;
    }

    /** A whole number within bounds, both included, that must be there. */
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
        // The smallest double over 0 as a bound stands for "over 0".
        String lowerBound = min == Double.MIN_VALUE ? "over 0" : plain(min) + " or more";
        throw new InvalidInputException(
                where + "." + name + " must be " + lowerBound + " and at most " + plain(max) + ", not " + plain(value));
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_SHOWN_AS_INTEGER
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** What one of the names in {@code meanings} stands for; {@code absent} where there is no field. */
    public <T> T choice(String name, T absent, Map<String, T> meanings) {
        if (!has(name)) {
            return absent;
        }
        String given = text(name);
        if (!meanings.containsKey(given)) {
            throw new InvalidInputException(where + "." + name + " must be one of "
                    + meanings.keySet().stream().sorted().toList() + ", not " + given);
        }
        return meanings.get(given);
    }

    // ---- Objects and lists ----

    /** An object that must be there. */
    @SuppressWarnings("unchecked")
    public JsonObject child(String name) {
        return new JsonObject(where + "." + name, (Map<String, Object>) get(name, Map.class));
    }

    /** An object, one without fields where there is none. */
    public JsonObject childOrEmpty(String name) {
        return has(name) ? child(name) : new JsonObject(where + "." + name, Map.of());
    }

    /** A list of objects that must be there. */
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

    /** A list of numbers; an absent list is empty. */
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

    /** A list of strings that must be there. */
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

    /** A list, which must be there, of what names in {@code meanings} stand for. */
    public <T> List<T> choices(String name, Map<String, T> meanings) {
        return texts(name).stream()
                .map(text -> new JsonObject(where, Map.of(name, text)).choice(name, null, meanings))
                .toList();
    }

    /** A list of names that must be there: at least one, none of them empty or there twice. */
    public List<String> names(String name) {
        return names(where + "." + name, texts(name));
    }

    /**
     * Checks names that stand at {@code where}: at least one, none of them empty or there twice.
     *
     * @return the names
     */
    public static List<String> names(String where, List<String> names) {
        if (names.isEmpty()
                || names.stream().anyMatch(String::isBlank)
                || names.stream().distinct().count() < names.size()) {
            throw new InvalidInputException(where + " must hold names, none of them empty or twice: " + names);
        }
        return names;
    }

    /** The places of those fields whose names are not among {@code known}. */
    public List<String> unknown(Set<String> known) {
        return fields.keySet().stream()
                .filter(name -> !known.contains(name))
                .map(name -> where + "." + name)
                .toList();
    }
}

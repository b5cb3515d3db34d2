package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A JSON object with typed look-ups that name what is missing or of the wrong type. */
public record JsonObject(String where, Map<String, Object> fields) {

    private static final JsonFactory FACTORY = new JsonFactory();

    /** Parses one line that holds one object. */
    public static JsonObject parse(String line) {
        return parse(line, "line");
    }

    /** Parses a text that holds one object; {@code where} names it in what is said of its fields. */
    public static JsonObject parse(String line, String where) {
        try (JsonParser parser = FACTORY.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object: " + shorten(line));
            }
            JsonObject json = new JsonObject(where, object(parser));
            if (parser.nextToken() != null) {
                throw new InvalidInputException("more than one value on a line: " + shorten(line));
            }
            return json;
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + shorten(line));
        }
    }

    /** Parses a TOML document into the same form. */
    public static JsonObject parseToml(String text) {
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            parser.nextToken();
            return new JsonObject("file", object(parser));
        } catch (IOException e) {
            throw new InvalidInputException(
                    "not TOML: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /** What a stream of objects holds, one after the other, whether on a line each or indented over many. */
    public static final class Values {
        private final JsonParser parser;

        /** Creates a reader of UTF-8 text; {@code blank} hears of each piece that held white space alone. */
        public Values(InputStream in, Runnable blank) throws IOException {
            // By way of a reader: told the encoding, the parser does not wait for four bytes to guess it.
            parser = FACTORY.createParser(new InputStreamReader(new Blanks(in, blank), StandardCharsets.UTF_8));
        }

        /** The next object once all of it has come, null at the end. */
        public JsonObject next() throws IOException {
            try {
                JsonToken token = parser.nextToken();
                if (token != null && token != JsonToken.START_OBJECT) {
                    throw new InvalidInputException("not a JSON object: " + token);
                }
                return token == null ? null : new JsonObject("list", object(parser));
            } catch (JsonProcessingException e) {
                throw new InvalidInputException("not JSON: " + e.getOriginalMessage());
            }
        }
    }

    /** Tells of pieces, as they come from the network, that hold white space alone. */
    private static final class Blanks extends FilterInputStream {
        private final Runnable blank;

        Blanks(InputStream in, Runnable blank) {
            super(in);
            this.blank = blank;
        }

        @Override
        public int read(byte[] into, int from, int most) throws IOException {
            int count = super.read(into, from, most);
            if (count > 0 && new String(into, from, count, StandardCharsets.ISO_8859_1).isBlank()) {
                blank.run();
            }
            return count;
        }
    }

    /** The object as JSON text. */
    public static String write(Map<String, ?> fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, fields);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName((String) entry.getKey());
                write(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object entry : list) {
                write(out, entry);
            }
            out.writeEndArray();
        } else if (value instanceof String text) {
            out.writeString(text);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeNumber(value.toString());
        }
    }

    private static String shorten(String line) {
        return line.length() > 80 ? line.substring(0, 80) + "..." : line;
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, value(parser));
        }
        return map;
    }

    private static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                return list;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getNumberValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    public boolean has(String name) {
        return fields.get(name) != null;
    }

    private <T> T get(String name, Class<T> type) {
        Object value = fields.get(name);
        if (value == null) {
            throw new InvalidInputException("missing field '" + name + "' in " + where);
        }
        if (!type.isInstance(value)) {
            throw new InvalidInputException("field '" + name + "' in " + where + " is not a " + kind(type));
        }
        return type.cast(value);
    }

    private static String kind(Class<?> type) {
        return type == Map.class ? "object" : type.getSimpleName().toLowerCase(java.util.Locale.ROOT);
    }

    public double number(String name) {
        return get(name, Number.class).doubleValue();
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    public long integer(String name) {
        return get(name, Number.class).longValue();
    }

    public long integer(String name, long absent) {
        return has(name) ? integer(name) : absent;
    }

    /** A number within bounds, both included; {@code absent} where there is none. */
    public double number(String name, double absent, double least, double most) {
        return has(name) ? within(name, number(name), least, most) : absent;
    }

    /** A whole number within bounds, both included; {@code absent} where there is none. */
    public int whole(String name, int absent, int least, int most) {
        return has(name) ? whole(name, least, most) : absent;
    }

    /** A whole number within bounds, both included, that must be there. */
    public int whole(String name, int least, int most) {
        double value = within(name, number(name), least, most);
        if (value != Math.rint(value)) {
            throw new InvalidInputException(where + "." + name + " must be a whole number, not " + value);
        }
        return (int) value;
    }

    private double within(String name, double value, double least, double most) {
        if (value >= least && value <= most) {
            return value;
        }
        throw new InvalidInputException(
                where + "." + name + " must be " + (least == Double.MIN_VALUE ? "over 0" : plain(least) + " or more")
                        + " and at most " + plain(most) + ", not " + plain(value));
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** One of the values of {@code meaning} by its name; {@code absent} where there is none. */
    public <T> T choice(String name, T absent, Map<String, T> meaning) {
        if (!has(name)) {
            return absent;
        }
        if (!meaning.containsKey(text(name))) {
            throw new InvalidInputException(where + "." + name + " must be one of "
                    + meaning.keySet().stream().sorted().toList() + ", not " + text(name));
        }
        return meaning.get(text(name));
    }

    /** A list of such values. */
    public <T> List<T> choices(String name, Map<String, T> meaning) {
        return texts(name).stream()
                .map(text -> new JsonObject(where, Map.of(name, text)).choice(name, null, meaning))
                .toList();
    }

    /** Where fields stand that are not among those known. */
    public List<String> unknown(Set<String> known) {
        return fields.keySet().stream()
                .filter(name -> !known.contains(name))
                .map(name -> where + "." + name)
                .toList();
    }

    public String text(String name) {
        return get(name, String.class);
    }

    public String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    public boolean flag(String name) {
        return has(name) && get(name, Boolean.class);
    }

    @SuppressWarnings("unchecked")
    public JsonObject child(String name) {
        return new JsonObject(where + "." + name, (Map<String, Object>) get(name, Map.class));
    }

    public JsonObject childOrEmpty(String name) {
        return has(name) ? child(name) : new JsonObject(where + "." + name, Map.of());
    }

    @SuppressWarnings("unchecked")
    public List<JsonObject> children(String name) {
        List<JsonObject> result = new ArrayList<>();
        for (Object entry : get(name, List.class)) {
            if (!(entry instanceof Map)) {
                throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not an object");
            }
            result.add(new JsonObject(where + "." + name + "[" + result.size() + "]", (Map<String, Object>) entry));
        }
        return result;
    }

    /** The numbers of a list; an absent list is empty. */
    public List<Double> numbers(String name) {
        List<Double> result = new ArrayList<>();
        if (has(name)) {
            for (Object entry : get(name, List.class)) {
                if (!(entry instanceof Number n)) {
                    throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not a number");
                }
                result.add(n.doubleValue());
            }
        }
        return result;
    }

    public List<String> texts(String name) {
        List<String> result = new ArrayList<>();
        for (Object entry : get(name, List.class)) {
            if (!(entry instanceof String text)) {
                throw new InvalidInputException("an entry of '" + name + "' in " + where + " is not a string");
            }
            result.add(text);
        }
        return result;
    }

    /** The names of a list: at least one, none of them empty or there twice. */
    public List<String> names(String name) {
        return names(where + "." + name, texts(name));
    }

    /** Checks names that stand at {@code where}: at least one, none of them empty or there twice. */
    public static List<String> names(String where, List<String> names) {
        if (names.isEmpty()
                || names.stream().anyMatch(String::isBlank)
                || names.stream().distinct().count() < names.size()) {
            throw new InvalidInputException(where + " must hold names, none of them empty or twice: " + names);
        }
        return names;
    }
}

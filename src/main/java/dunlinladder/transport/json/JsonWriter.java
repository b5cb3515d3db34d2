package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Writes plain Java values, of the types that {@link JsonValueReader} returns, as JSON text without white space. Like
 * the reader, it needs no stack for nested values.
 */
final class JsonWriter {

    private final JsonGenerator generator;
    /** What is left to write of each open container, the innermost first: fields of an object, entries of an array. */
    private final Deque<Iterator<?>> containers = new ArrayDeque<>();

    private JsonWriter(JsonGenerator generator) {
        this.generator = generator;
    }

    /** Returns the text of an object whose fields are in the order of the map. */
    static String write(JsonFactory factory, Map<String, ?> fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = factory.createGenerator(text)) {
            JsonWriter writer = new JsonWriter(generator);
            writer.writeValue(fields);
            writer.writeUntilClosed();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private void writeUntilClosed() throws IOException {
        while (!containers.isEmpty()) {
            Iterator<?> rest = containers.element();
            if (rest.hasNext()) {
                writeMember(rest.next());
            } else {
                closeContainer();
            }
        }
    }

    private void writeMember(Object member) throws IOException {
        if (member instanceof Map.Entry<?, ?> field) {
            generator.writeFieldName((String) field.getKey());
            writeValue(field.getValue());
        } else {
            writeValue(member);
        }
    }

    /** Writes a value. Of a container it writes only the opening bracket. */
    private void writeValue(Object value) throws IOException {
        if (value instanceof Map<?, ?> fields) {
            generator.writeStartObject();
            containers.push(fields.entrySet().iterator());
        } else if (value instanceof List<?> entries) {
            generator.writeStartArray();
            containers.push(entries.iterator());
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeNumber(value.toString());
        }
    }

    private void closeContainer() throws IOException {
        containers.pop();
        if (generator.getOutputContext().inObject()) {
            generator.writeEndObject();
        } else {
            generator.writeEndArray();
        }
    }
}

package dunlinladder.apiformat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into its events as the bytes arrive. The chunks of
 * bytes may be cut anywhere. Comments and the fields {@code id} and {@code retry} are ignored. An event that is
 * incomplete at the end of the stream is not reported.
 *
 * <p>Not thread-safe.
 */
public final class ServerSentEventReader {

    private static final String DATA = "data";
    private static final String DATA_FIELD = "data:";
    private static final String EVENT_FIELD = "event:";

    private final BiConsumer<String, String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    /** The event's name, or null. Nullable rather than optional because the reader handles each token of a reply. */
    private String name;

    private boolean hasData;
    private boolean afterCarriageReturn;

    /**
     * Creates a reader.
     *
     * @param events receives the name of each event, or null if it has none, and its data
     */
    public ServerSentEventReader(BiConsumer<String, String> events) {
        this.events = events;
    }

    /** Reads a chunk and reports the events that it completes. */
    public void read(ByteBuffer chunk) {
        while (chunk.hasRemaining()) {
            byte next = chunk.get();
            if (next == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
            } else if (next == '\n' || next == '\r') {
                afterCarriageReturn = next == '\r';
                endLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                afterCarriageReturn = false;
                line.write(next);
            }
        }
    }

    private void endLine(String text) {
        if (text.isEmpty()) {
            endEvent();
        } else if (text.equals(DATA) || text.startsWith(DATA_FIELD)) {
            data.append(hasData ? "\n" : "").append(value(text, DATA_FIELD));
            hasData = true;
        } else if (text.startsWith(EVENT_FIELD)) {
            name = value(text, EVENT_FIELD);
        }
    }

    private void endEvent() {
        if (hasData) {
            events.accept(name, data.toString());
        }
        data.setLength(0);
        name = null;
        hasData = false;
    }

    /** Returns the text after the field's name and colon, without one leading space if there is one. */
    private static String value(String text, String field) {
        String value = text.length() > field.length() ? text.substring(field.length()) : "";
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}

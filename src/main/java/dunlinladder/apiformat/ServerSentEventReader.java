package dunlinladder.apiformat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Reads a stream of server-sent events as its bytes come, in pieces of any size. Gives each event's name, null where it
 * has none, and its data; comments and other fields are passed over, and an event that the stream's end cuts off is
 * none.
 */
public final class ServerSentEventReader {

    private final BiConsumer<String, String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String name;
    private boolean hasData;
    private boolean afterReturn;

    /** Creates a reader that hands each event on. */
    public ServerSentEventReader(BiConsumer<String, String> events) {
        this.events = events;
    }

    /** Reads a piece. */
    public void read(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n' && afterReturn) {
                afterReturn = false;
            } else if (b == '\n' || b == '\r') {
                afterReturn = b == '\r';
                endLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                afterReturn = false;
                line.write(b);
            }
        }
    }

    private void endLine(String text) {
        if (text.isEmpty()) {
            if (hasData) {
                events.accept(name, data.toString());
            }
            data.setLength(0);
            name = null;
            hasData = false;
        } else if (text.equals("data") || text.startsWith("data:")) {
            data.append(hasData ? "\n" : "").append(value(text, 5));
            hasData = true;
        } else if (text.startsWith("event:")) {
            name = value(text, 6);
        }
    }

    private static String value(String text, int from) {
        String value = text.length() > from ? text.substring(from) : "";
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}

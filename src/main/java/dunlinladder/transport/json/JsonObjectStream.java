package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/**
 * Reads JSON objects that follow each other in a stream. An object may be on one line or spread over several. Used by
 * one thread; the caller must close the stream.
 */
public final class JsonObjectStream {

    private static final String WHERE = "list";

    private final JsonParser parser;

    /**
     * Creates a reader of UTF-8 text.
     *
     * @param heartbeat runs for each read from the network that returns only white space
     * @throws IOException if the stream cannot be read
     */
    public JsonObjectStream(InputStream in, Runnable heartbeat) throws IOException {
        // With a Reader the parser need not detect the encoding, for which it would wait for four bytes.
        parser = JsonObject.FACTORY.createParser(
                new InputStreamReader(new BlankReadDetector(in, heartbeat), StandardCharsets.UTF_8));
    }

    /**
     * Returns the next object once it has arrived in full, null at the end of the stream.
     *
     * @throws InvalidInputException if the input is not a JSON object
     * @throws IOException if the stream cannot be read
     */
    public JsonObject next() throws IOException {
        try {
            JsonToken token = parser.nextToken();
            if (token != null && token != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object: " + token);
            }
            return token == null ? null : new JsonObject(WHERE, JsonValueReader.object(parser));
        } catch (JsonProcessingException e) {
            throw new InvalidInputException("not JSON: " + e.getOriginalMessage());
        }
    }

    /** Runs a task for each read from the network that returns only white space. */
    private static final class BlankReadDetector extends FilterInputStream {
        private final Runnable onBlankRead;

        BlankReadDetector(InputStream in, Runnable onBlankRead) {
            super(in);
            this.onBlankRead = onBlankRead;
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            int count = super.read(into, offset, length);
            if (count > 0 && new String(into, offset, count, StandardCharsets.ISO_8859_1).isBlank()) {
                onBlankRead.run();
            }
            return count;
        }
    }
}

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
 * Reads JSON objects that follow each other in a stream, whether each stands on a line of its own or is indented over
 * many. For one thread; the stream stays its caller's to close.
 */
public final class JsonObjectStream {

    private static final String WHERE = "list";

    private final JsonParser parser;

    /**
     * Creates a reader of UTF-8 text.
     *
     * @param heartbeat runs for each piece, as it comes from the network, that holds white space alone
     * @throws IOException when the stream cannot be read
     */
    public JsonObjectStream(InputStream in, Runnable heartbeat) throws IOException {
        // By way of a reader: told the encoding, the parser does not wait for four bytes to guess it.
        parser = JsonObject.FACTORY.createParser(
                new InputStreamReader(new BlankPieceDetector(in, heartbeat), StandardCharsets.UTF_8));
    }

    /**
     * The next object once all of it has come, null at the end of the stream.
     *
     * @throws InvalidInputException when what comes is not a JSON object
     * @throws IOException when the stream cannot be read
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

    /** Notices pieces, as they come from the network, that hold white space alone. */
    private static final class BlankPieceDetector extends FilterInputStream {
        private final Runnable onBlankPiece;

        BlankPieceDetector(InputStream in, Runnable onBlankPiece) {
            super(in);
            this.onBlankPiece = onBlankPiece;
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            int count = super.read(into, offset, length);
            if (count > 0 && new String(into, offset, count, StandardCharsets.ISO_8859_1).isBlank()) {
                onBlankPiece.run();
            }
            return count;
        }
    }
}

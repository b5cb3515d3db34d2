package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Cuts an engine's stream into complete events and checks each line before it is passed on, as it came. What is no
 * event of this protocol is noise, whatever its chunk said, and would else be served as an answer. Used by one thread
 * at a time.
 *
 * <p>Format: server-sent events as the protocol page restricts them, that is {@code data:} with a JSON object or
 * {@code [DONE]}, comments, {@code event:}, {@code id:} and {@code retry:}; a blank line ends an event.
 */
final class EventStreamFilter {

    private static final String DATA_FIELD = "data:";
    private static final String STREAM_END = "[DONE]";
    private static final String LOAD_REPORT_COMMENT = ": " + EngineReportReader.LOAD_HEADER + ":";
    private static final String OTHER_LINE = "(:|event:|id:|retry:)[^\\p{Cntrl}]*";

    /** Holds most events of a few tokens. */
    private static final int INITIAL_BYTES = 512;

    private final int maxEventBytes;
    /** The bytes that wait for the end of their event, {@link #size} of them. */
    private byte[] pending = new byte[INITIAL_BYTES];

    private int size;
    /** Where the line begins that has not ended. */
    private int lineStart;

    private boolean dataSeen;
    private double cachedTokens;
    private Map<String, Double> loadReport = Map.of();

    /** Creates a filter for events of at most {@code maxEventBytes} bytes. */
    EventStreamFilter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /** Bytes that wait for the end of their event. */
    int pendingBytes() {
        return size;
    }

    /**
     * Takes a piece of the stream, all of it.
     *
     * @return the events that it completed, empty when there are none
     * @throws InvalidInputException on noise, or an event that is too long
     */
    ByteBuffer add(ByteBuffer piece) {
        int from = size;
        append(piece);
        int complete = 0;
        for (int at = from; at < size; at++) {
            if (pending[at] == '\n') {
                boolean blank = checkLine(lineStart, at);
                lineStart = at + 1;
                // A comment ahead of the first event does not make the stream the client's.
                complete = blank && dataSeen ? lineStart : complete;
            }
        }
        if (size - complete > maxEventBytes) {
            throw new InvalidInputException("an event is over " + maxEventBytes + " bytes");
        }
        return remove(complete);
    }

    /**
     * The end of the stream.
     *
     * @return what is left, which may lack its closing blank line
     * @throws InvalidInputException on noise
     */
    ByteBuffer end() {
        if (lineStart < size) {
            checkLine(lineStart, size);
        }
        return remove(size);
    }

    private void append(ByteBuffer piece) {
        int bytes = piece.remaining();
        if (size + bytes > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, size + bytes));
        }
        piece.get(pending, size, bytes);
        size += bytes;
    }

    private ByteBuffer remove(int bytes) {
        ByteBuffer events = ByteBuffer.wrap(Arrays.copyOf(pending, bytes));
        System.arraycopy(pending, bytes, pending, 0, size - bytes);
        size -= bytes;
        lineStart -= Math.min(lineStart, bytes);
        return events;
    }

    /** Checks one line without its line feed; true when it is blank. */
    private boolean checkLine(int start, int end) {
        int stop = end > start && pending[end - 1] == '\r' ? end - 1 : end;
        if (stop == start) {
            return true;
        }
        String line = decode(start, stop);
        if (line.startsWith(DATA_FIELD)) {
            readData(line.substring(DATA_FIELD.length()).trim());
        } else if (line.startsWith(LOAD_REPORT_COMMENT)) {
            loadReport = EngineReportReader.loadReport(line.substring(LOAD_REPORT_COMMENT.length()));
        } else if (!line.matches(OTHER_LINE)) {
            throw new InvalidInputException("a line that belongs to no event");
        }
        return false;
    }

    private String decode(int start, int end) {
        ByteBuffer line = ByteBuffer.wrap(pending, start, end - start);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(line).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidInputException("a line that is not UTF-8");
        }
    }

    private void readData(String text) {
        if (!text.equals(STREAM_END)) {
            JsonObject event = JsonObject.parse(text);
            if (event.has("usage")) {
                cachedTokens = EngineReportReader.cachedTokensOfUsage(event);
            }
        }
        dataSeen = true;
    }

    /** The cached tokens that the events state; 0 when they do not. */
    double cachedTokens() {
        return cachedTokens;
    }

    /** The load report that came in a comment; empty when there was none. */
    Map<String, Double> loadReport() {
        return loadReport;
    }
}

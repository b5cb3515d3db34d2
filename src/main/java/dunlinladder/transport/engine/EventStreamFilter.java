package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Splits an engine's stream into complete events. Checks each line before it is forwarded unchanged. A line that is not
 * part of an event of this protocol is invalid even inside a well-formed chunk; without this check it would be served
 * as an answer. Used by one thread at a time.
 *
 * <p>Format: server-sent events with the restrictions of the platform protocol specification, that is {@code data:}
 * with a JSON object or {@code [DONE]}, comments, {@code event:}, {@code id:} and {@code retry:}; a blank line ends an
 * event.
 */
final class EventStreamFilter {

    private static final String DATA_FIELD = "data:";
    private static final String EVENT_FIELD = "event:";
    private static final String LOAD_REPORT_COMMENT = ": " + EngineReportReader.LOAD_HEADER + ":";
    private static final List<byte[]> FIELD_PREFIXES = Stream.of(DATA_FIELD, ":", EVENT_FIELD, "id:", "retry:", "\r")
            .map(prefix -> prefix.getBytes(StandardCharsets.US_ASCII))
            .toList();
    private static final String OTHER_LINE = "(:|event:|id:|retry:)[^\\p{Cntrl}]*";

    /** Initial capacity of the buffer; most events of a few tokens fit. */
    private static final int INITIAL_BYTES = 512;

    private final int maxEventBytes;
    private final StreamTerminator terminator;
    /** The bytes of the incomplete event, {@link #size} of them. */
    private byte[] pending = new byte[INITIAL_BYTES];

    private int size;
    /** Index of the first byte of the incomplete line. */
    private int lineStart;

    private boolean dataSeen;
    private boolean terminated;
    /** The name of the incomplete event; empty if it has none so far. */
    private String eventName = "";

    private double cachedTokens;
    private Map<String, Double> loadReport = Map.of();

    /**
     * Creates a filter for events of at most {@code maxEventBytes} bytes.
     *
     * @param terminator the event that completes the stream
     */
    EventStreamFilter(int maxEventBytes, StreamTerminator terminator) {
        this.maxEventBytes = maxEventBytes;
        this.terminator = terminator;
    }

    /** Returns the number of bytes of the incomplete event. */
    int pendingBytes() {
        return size;
    }

    /**
     * Consumes all of {@code piece}, the next bytes of the stream.
     *
     * @return the events that {@code piece} completed, empty if there are none
     * @throws InvalidInputException if a line is not part of an event, or an event is too long
     */
    ByteBuffer add(ByteBuffer piece) {
        int newStart = size;
        append(piece);
        int completeBytes = 0;
        for (int index = newStart; index < size; index++) {
            if (pending[index] == '\n') {
                boolean blank = checkLine(lineStart, index);
                lineStart = index + 1;
                // A comment before the first event is not forwarded by itself, so that it does not start the client's
                // stream.
                completeBytes = blank && dataSeen ? lineStart : completeBytes;
            }
        }
        checkIncompleteLine();
        if (size - completeBytes > maxEventBytes) {
            throw new InvalidInputException("an event is longer than " + maxEventBytes + " bytes");
        }
        return removeFirst(completeBytes);
    }

    /**
     * Ends the stream.
     *
     * @return the remaining bytes, which may lack the closing blank line
     * @throws InvalidInputException if the last line is not part of an event
     */
    ByteBuffer end() {
        if (lineStart < size) {
            checkLine(lineStart, size);
        }
        return removeFirst(size);
    }

    /** Checks how the incomplete line begins, so that noise that never ends a line is not taken for a slow event. */
    private void checkIncompleteLine() {
        int length = size - lineStart;
        for (byte[] prefix : FIELD_PREFIXES) {
            int compared = Math.min(length, prefix.length);
            if (Arrays.equals(pending, lineStart, lineStart + compared, prefix, 0, compared)) {
                return;
            }
        }
        throw new InvalidInputException("a line does not begin like a part of an event");
    }

    private void append(ByteBuffer piece) {
        int bytes = piece.remaining();
        if (size + bytes > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, size + bytes));
        }
        piece.get(pending, size, bytes);
        size += bytes;
    }

    private ByteBuffer removeFirst(int bytes) {
        ByteBuffer events = ByteBuffer.wrap(Arrays.copyOf(pending, bytes));
        System.arraycopy(pending, bytes, pending, 0, size - bytes);
        size -= bytes;
        lineStart -= Math.min(lineStart, bytes);
        return events;
    }

    /** Checks one line without its line feed; returns whether the line is blank. */
    private boolean checkLine(int start, int end) {
        int contentEnd = end > start && pending[end - 1] == '\r' ? end - 1 : end;
        if (contentEnd == start) {
            eventName = "";
            return true;
        }
        String line = decode(start, contentEnd);
        if (line.startsWith(DATA_FIELD)) {
            readData(line.substring(DATA_FIELD.length()).trim());
        } else if (line.startsWith(LOAD_REPORT_COMMENT)) {
            loadReport = EngineReportReader.loadReport(line.substring(LOAD_REPORT_COMMENT.length()));
        } else if (!line.matches(OTHER_LINE)) {
            throw new InvalidInputException("a line is not part of an event");
        } else if (line.startsWith(EVENT_FIELD)) {
            eventName = line.substring(EVENT_FIELD.length()).trim();
        }
        return false;
    }

    private String decode(int start, int end) {
        ByteBuffer line = ByteBuffer.wrap(pending, start, end - start);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(line).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidInputException("a line is not valid UTF-8");
        }
    }

    private void readData(String text) {
        if (StreamTerminator.isMarker(text)) {
            terminated |= terminator.isDoneMarker();
        } else {
            JsonObject event = parse(text);
            terminated |= terminator.matches(eventName, event);
            if (event.has("usage")) {
                cachedTokens = EngineReportReader.cachedTokensOfUsage(event);
            }
        }
        dataSeen = true;
    }

    /** Parses the data of an event; the error does not repeat the data, which is a part of an answer. */
    private static JsonObject parse(String text) {
        try {
            return JsonObject.parse(text);
        } catch (InvalidInputException e) {
            throw new InvalidInputException("the data of an event is not a JSON object");
        }
    }

    /** Whether the event that completes the stream has been read. */
    boolean isTerminated() {
        return terminated;
    }

    /** Returns the number of cached tokens that the events state; 0 if they do not state it. */
    double cachedTokens() {
        return cachedTokens;
    }

    /** Returns the load report in a comment of the stream; empty if there was none. */
    Map<String, Double> loadReport() {
        return loadReport;
    }
}

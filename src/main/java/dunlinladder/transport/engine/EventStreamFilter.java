package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Cuts an engine's stream into whole events and looks at each line before it is passed on, as it came. What is not an
 * event of this protocol is noise, whatever its chunk said, and would be served as an answer.
 */
final class EventStreamFilter {

    private static final String REPORT = ": " + EngineReportReader.HEADER + ":";

    private final int most;
    private byte[] held = new byte[512];
    private int size;
    private int line;
    private boolean data;
    private double kept;
    private Map<String, Double> report = Map.of();

    /** Creates a cutter for events of at most {@code most} bytes. */
    EventStreamFilter(int most) {
        this.most = most;
    }

    /** Bytes that wait for the end of their event. */
    int held() {
        return size;
    }

    /** Takes a piece; returns the events that it ended, empty when there are none; throws on noise. */
    ByteBuffer add(ByteBuffer piece) {
        int from = size;
        if (size + piece.remaining() > held.length) {
            held = Arrays.copyOf(held, Math.max(2 * held.length, size + piece.remaining()));
        }
        size += piece.remaining();
        piece.get(held, from, piece.remaining());
        int whole = 0;
        for (int at = from; at < size; at++) {
            if (held[at] == '\n') {
                boolean blank = check(line, at);
                line = at + 1;
                // A comment ahead of the first event does not make the stream the client's.
                whole = blank && data ? line : whole;
            }
        }
        if (size - whole > most) {
            throw new InvalidInputException("an event is over " + most + " bytes");
        }
        return take(whole);
    }

    /** The end of the stream: returns what is left, which may lack its closing blank line. */
    ByteBuffer end() {
        if (line < size) {
            check(line, size);
        }
        return take(size);
    }

    private ByteBuffer take(int count) {
        ByteBuffer events = ByteBuffer.wrap(Arrays.copyOf(held, count));
        System.arraycopy(held, count, held, 0, size - count);
        size -= count;
        line -= Math.min(line, count);
        return events;
    }

    /** Checks one line; true when it is blank. */
    private boolean check(int start, int end) {
        int stop = end > start && held[end - 1] == '\r' ? end - 1 : end;
        if (stop == start) {
            return true;
        }
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(held, start, stop - start))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidInputException("a line that is not UTF-8");
        }
        if (text.startsWith("data:")) {
            data(text.substring(5).trim());
        } else if (text.startsWith(REPORT)) {
            report = EngineReportReader.load(text.substring(REPORT.length()));
        } else if (!text.matches("(:|event:|id:|retry:)[^\\p{Cntrl}]*")) {
            throw new InvalidInputException("a line that belongs to no event");
        }
        return false;
    }

    private void data(String text) {
        if (!text.equals("[DONE]")) {
            JsonObject event = JsonObject.parse(text);
            if (event.has("usage")) {
                kept = EngineReportReader.kept(event);
            }
        }
        data = true;
    }

    /** The kept tokens that the events state; 0 when they do not. */
    double kept() {
        return kept;
    }

    /** The load report that came in a comment; empty when there was none. */
    Map<String, Double> report() {
        return report;
    }
}

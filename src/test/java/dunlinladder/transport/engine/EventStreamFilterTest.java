package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The bytes of an engine's stream that are forwarded. */
class EventStreamFilterTest {

    /**
     * Feeds a stream in pieces that end at each bar. Returns the forwarded bytes joined with bars, and an exclamation
     * mark if invalid data ended the stream.
     */
    private static String filter(EventStreamFilter filter, String pieces) {
        StringBuilder forwarded = new StringBuilder();
        try {
            for (String piece : pieces.replace('/', '\n').split("\\|")) {
                ByteBuffer complete = filter.add(ByteBuffer.wrap(piece.getBytes(StandardCharsets.ISO_8859_1)));
                forwarded.append(StandardCharsets.ISO_8859_1.decode(complete)).append('|');
            }
            forwarded.append(StandardCharsets.ISO_8859_1.decode(filter.end()));
        } catch (InvalidInputException e) {
            forwarded.append('!');
        }
        return forwarded.toString().replace('\n', '/');
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "data: {}//data: {|}//;data: {}//|data: {}//|",
                "data: [DONE]//: x/;data: [DONE]//|: x/",
                ": wait//|data: {}//;|: wait//data: {}//|",
                "data: {}/\r|/;|data: {}/\r/|",
                "data: {}//\u0001\u0002/;!",
                "5f/data: {}//;!",
                "data: {]//;!",
                "data: {}//|data: {\"a\":\"\u00ff\"}//;data: {}//|!",
                "data: 7//;!",
                "event: a/data: {}//;event: a/data: {}//|",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx;!",
                "HTTP/1.1 200 OK//;!",
                "data: {}//|noise|;data: {}//|!",
                "data: {}//|d|ata: {}/|\r|/;data: {}//||||data: {}/\r/|",
                "data: {}//|\u0001x;data: {}//|!"
            })
    void onlyCompleteEventsAreForwardedAndInvalidDataEndsTheStream(String pieces, String forwarded) {
        assertEquals(forwarded, filter(new EventStreamFilter(64, StreamTerminator.DONE_MARKER), pieces));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "DONE_MARKER; data: [DONE]//; true",
                "DONE_MARKER; data: [DONE]//: X-Server-Load: queue=3//; true",
                "DONE_MARKER; data: [DONE]; true",
                "DONE_MARKER; data: {\"choices\":[{\"finish_reason\":\"stop\"}]}//; false",
                "DONE_MARKER; data: {\"type\":\"response.completed\"}//; false",
                "RESPONSE_EVENT; data: {\"type\":\"response.completed\"}//; true",
                "RESPONSE_EVENT; event: response.incomplete/data: {}//; true",
                "RESPONSE_EVENT; data: {\"type\":\"response.failed\"}//; true",
                "RESPONSE_EVENT; data: {\"type\":\"error\"}//; false",
                "RESPONSE_EVENT; data: [DONE]//; false",
                "RESPONSE_EVENT; event: response.completed//data: {}//; false",
                "MESSAGE_STOP; event: message_stop/data: {\"type\":\"message_stop\"}//; true",
                "MESSAGE_STOP; data: {\"type\":\"message_delta\"}//; false",
                "MESSAGE_STOP; data: {\"type\":7}//; false"
            })
    void aStreamIsCompleteBehindTheClosingEventOfItsFormat(StreamTerminator terminator, String text, boolean complete) {
        EventStreamFilter filter = new EventStreamFilter(1000, terminator);
        filter(filter, text);
        assertEquals(complete, filter.isTerminated());
    }

    @Test
    void usageAndLoadReportOfTheStreamAreRead() {
        EventStreamFilter filter = new EventStreamFilter(1000, StreamTerminator.DONE_MARKER);
        filter(
                filter,
                "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":12}}}//"
                        + ": X-Server-Load: queue=3//data: [DONE]//");
        assertEquals(12, filter.cachedTokens());
        assertEquals(Map.of("queue", 3.0), filter.loadReport());
        assertEquals(0, new EventStreamFilter(1000, StreamTerminator.DONE_MARKER).cachedTokens());
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What engines tell beside their answers. */
class EngineReportReaderTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "none",
            value = {
                "none|{}",
                "''|{}",
                "a=1|{a=1.0}",
                "inflight=7, queue=2,util=0.61|{inflight=7.0, queue=2.0, util=0.61}",
                "a=x,b=2|{}",
                "=3|{}",
                "a=1,|{}",
                "a=0x1p3|{}",
                "a=1e400|{}",
                "a=2e-1|{a=0.2}",
                "a|{}",
                "a=NaN,b=1|{}",
                ",,|{}"
            })
    void loadReports(String text, String expected) {
        assertEquals(expected, EngineReportReader.loadReport(text).toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{\"cached_tokens\":4096}|4096", "{}|0", "hello|0", "''|0"})
    void keptInARead(String body, double expected) {
        assertEquals(expected, EngineReportReader.cachedTokensOfPrefill(body));
    }

    /** Feeds a stream in pieces that end at each bar; what passes is joined with bars, noise ends it. */
    private static String cut(EventStreamFilter events, String pieces) {
        StringBuilder passed = new StringBuilder();
        try {
            for (String piece : pieces.replace('/', '\n').split("\\|")) {
                ByteBuffer whole = events.add(ByteBuffer.wrap(piece.getBytes(StandardCharsets.ISO_8859_1)));
                passed.append(StandardCharsets.ISO_8859_1.decode(whole)).append('|');
            }
            passed.append(StandardCharsets.ISO_8859_1.decode(events.end()));
        } catch (InvalidInputException e) {
            passed.append('!');
        }
        return passed.toString().replace('\n', '/');
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
                "HTTP/1.1 200 OK//;!"
            })
    void onlyWholeEventsPass(String pieces, String passed) {
        assertEquals(passed, cut(new EventStreamFilter(64), pieces));
    }

    /** Where there is no DNS a look-up holds up its thread, and all that waits for it, for seconds. */
    @Test
    void addressesAreNotLookedUp() throws Exception {
        assertEquals("127.0.0.1", EngineAddress.host("127.0.0.1:80").getHostName());
    }

    @Test
    void whatAStreamTellsBeside() {
        EventStreamFilter events = new EventStreamFilter(1000);
        cut(
                events,
                "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":12}}}//"
                        + ": X-Server-Load: queue=3//data: [DONE]//");
        assertEquals(12, events.cachedTokens());
        assertEquals(Map.of("queue", 3.0), events.loadReport());
        assertEquals(0, new EventStreamFilter(1000).cachedTokens());
    }
}

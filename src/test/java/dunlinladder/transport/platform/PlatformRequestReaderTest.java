package dunlinladder.transport.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Request;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.engine.StreamTerminator;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the reading of the platform's request headers, and that an error names the invalid header. */
class PlatformRequestReaderTest {

    private static final EngineRequest ENGINE_REQUEST =
            new EngineRequest("POST", "/", null, new byte[40], StreamTerminator.DONE_MARKER);
    private final PlatformRequestReader reader =
            new PlatformRequestReader(List.of("lookup", "listing"), List.of(4.0, 10.0), List.of("acme", "other"));

    private Request read(String name, String value) {
        Map<String, String> headers = new HashMap<>(Map.of(
                "X-Request-ID",
                "ab12",
                "X-Priority-Class",
                "listing",
                "X-Tenant-Id",
                "other",
                "X-Timeout",
                "2.5",
                "X-Route-Key",
                "k",
                "X-Attrs",
                "prefix=5c,prompt_len=120,prefix_len=20,max_out=80"));
        headers.put(name, value);
        return reader.read(headers::get, ENGINE_REQUEST, 100);
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            delimiter = '|',
            value = {
                "X-Timeout|4.8|104.8 120.0 80.0 false false",
                "X-Timeout|none|110.0 120.0 80.0 false false",
                "X-Attrs|none|102.5 10.0 0.0 false false",
                "X-Attrs|max_out=7,new=x|102.5 10.0 7.0 false false",
                "X-Retried|1|102.5 120.0 80.0 true false",
                "X-Retried|again|102.5 120.0 80.0 true true",
                "X-Route-Key|none|102.5 120.0 80.0 false false"
            })
    void readsEachHeader(String header, String value, String expected) {
        Request request = read(header, value);
        assertEquals(
                expected,
                request.deadline() + " " + request.promptTokens() + " " + request.maxOutputTokens() + " "
                        + request.isResubmission() + " " + request.resumesStream());
        assertEquals("ab12 1 1", request.id() + " " + request.serviceClass() + " " + request.tenant());
        assertEquals("X-Attrs".equals(header) ? 0 : PlatformRequestReader.hashKey("5c"), request.prefix());
    }

    /** HttpCore reads each byte of a head as one character, so a non-ASCII name arrives as the bytes of its UTF-8. */
    @ParameterizedTest
    @CsvSource({"\u00e9t\u00e9", "\u4e16\u754c", "a;b=c", "z'q", "two words"})
    void acceptsNamesOfAnyCharacters(String name) {
        PlatformRequestReader anyNameReader =
                new PlatformRequestReader(List.of("first", name), List.of(1.0, 2.0), List.of());
        String sent = new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        Map<String, String> headers = Map.of("X-Request-ID", "ab12", "X-Priority-Class", sent);
        assertEquals(1, anyNameReader.read(headers::get, ENGINE_REQUEST, 100).serviceClass());
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            value = {
                "X-Request-ID, none",
                "X-Request-ID, a/b",
                "X-Priority-Class, none",
                "X-Priority-Class, x",
                "X-Tenant-Id, none",
                "X-Timeout, ''",
                "X-Timeout, NaN",
                "X-Timeout, -1",
                "X-Timeout, 1e400",
                "X-Timeout, 0x1p3",
                "X-Timeout, 4d",
                "X-Timeout, +4",
                "X-Timeout, 1e1",
                "X-Timeout, .5",
                "X-Timeout, Infinity",
                "X-Attrs, prompt_len",
                "X-Attrs, prompt_len=many",
                "X-Attrs, max_out=-1"
            })
    void namesTheInvalidHeader(String header, String value) {
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> read(header, value));
        assertTrue(error.getMessage().contains(header), error.getMessage());
    }
}

package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ReadableByteChannel;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the parsing of message heads and of chunked bodies, and their limits. */
class HeadsAndChunksTest {

    private final TestInputBuffer buffer = new TestInputBuffer();
    private final MessageHeadParser<HttpRequest> requestParser =
            new MessageHeadParser<>(new DefaultHttpRequestParserFactory(Http1Config.DEFAULT).create(), 200, 0);

    private static ReadableByteChannel channel(String text) {
        return Channels.newChannel(new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private HttpRequest head(String headers) throws IOException, HttpException {
        buffer.put("POST / HTTP/1.1\n" + headers.replace('/', '\n'));
        return requestParser.parse(buffer, false);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5//", "Transfer-Encoding: Chunked//", "A: b/C: d//"})
    void acceptsPlainHeads(String headers) throws Exception {
        assertNotNull(head(headers));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5/Transfer-Encoding: chunked//",
                "Transfer-Encoding: chunked/Content-Length: 5//",
                "Content-Length: 5/Content-Length: 5//",
                "Content-Length: 5, 5//",
                "Content-Length: -1//",
                "Content-Length: +5//",
                "Content-Length: 0x5//",
                "Content-Length: 99999999999999999999//",
                "Content-Length:// ",
                "Transfer-Encoding: gzip, chunked//",
                "Transfer-Encoding: chunked/Transfer-Encoding: chunked//",
                "Transfer-Encoding: x\u000bchunked//",
                "A: b\rContent-Length: 5//",
                "A b: c//",
                "A : c//",
                ": c//",
                "A: b\u0000//"
            })
    void rejectsMalformedOrAmbiguousHeads(String headers) {
        assertThrows(HttpException.class, () -> head(headers));
    }

    @Test
    void rejectsAHeadOverTheMaximumLength() throws Exception {
        assertNull(head("A: b/"));
        assertThrows(HttpException.class, () -> {
            for (int i = 0; i < 20; i++) {
                buffer.put("Another: header\n");
                requestParser.parse(buffer, false);
            }
        });
    }

    @Test
    void rejectsAPartialHeadAtTheEndOfTheConnection() throws Exception {
        assertNull(head("A: b/"));
        assertThrows(ConnectionClosedException.class, () -> requestParser.parse(buffer, true));
    }

    @Test
    void rejectsMoreInterimResponsesThanTheMaximum() throws Exception {
        MessageHeadParser<HttpResponse> responseParser =
                new MessageHeadParser<>(new DefaultHttpResponseParserFactory(Http1Config.DEFAULT).create(), 200, 2);
        for (int code : new int[] {100, 102, 200, 103, 103}) {
            buffer.put("HTTP/1.1 " + code + " x\n\n");
            assertEquals(code, responseParser.parse(buffer, false).getCode());
            responseParser.reset();
        }
        buffer.put("HTTP/1.1 103 x\n\n");
        assertThrows(HttpException.class, () -> responseParser.parse(buffer, false));
    }

    /** Returns the body up to its end or to a fault, which is marked by an exclamation mark. */
    private String body(String chunks) {
        ChunkedBodyDecoder decoder = new ChunkedBodyDecoder(channel(chunks.replace('/', '\n')), buffer, 100);
        StringBuilder text = new StringBuilder();
        ByteBuffer into = ByteBuffer.allocate(64);
        try {
            while (decoder.read(into) >= 0 && !decoder.isCompleted()) {
                text.append(StandardCharsets.ISO_8859_1.decode(into.flip()));
                into.clear();
            }
        } catch (IOException e) {
            text.append('!');
        }
        return text.toString();
    }

    /** Data that arrives in the same read as a fault or the end of the body must not be lost. */
    @ParameterizedTest
    @CsvSource({
        "5/hello/0//, hello",
        "2;a=b/he/3/llo/0/Trailer: x//, hello",
        "A/helloworld/0//, helloworld",
        "5/hello/, hello!",
        "5/hel, hel!",
        "5/hello/zz/, hello!",
        "4/hello/0//, hell!",
        "6/hello/0//, 'hello\n!'",
        "C0000000/hello, !",
        "5/hello/65/, hello!",
        "-5/hello, !",
        "0x5/hello, !",
        "+5/hello, !",
        "/, !",
        "5/hello/\u0001\u00020//, hello!",
        "5/hello/0\u0000//, hello!",
        "5/hello/0 \t;a=b//, hello",
        "5/hello/0/noise//, hello!",
        "5/hello/0/: x//, hello!"
    })
    void returnsTheDataBeforeAFaultOrTheEnd(String chunks, String expected) {
        assertEquals(expected, body(chunks));
    }
}

package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import java.io.IOException;
import java.util.Locale;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.FormattedHeader;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses message heads, limits their length, and rejects a head that gives the length of its body ambiguously: bytes
 * that one side reads as the body could be read as the next request by the other side (request smuggling). HttpCore's
 * own parser limits only the length and the number of lines, prefers one of two given lengths, and treats a partial
 * head as complete when the connection ends. Used only by the I/O thread of its connection.
 */
public final class MessageHeadParser<T extends HttpMessage> implements NHttpMessageParser<T> {

    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern BODY_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final char DELETE = 127;
    /** Maximum number of bytes that are read from a connection at once. */
    private static final int BUFFER_BYTES = 4096;
    /** Bytes of a stream that may wait for its client before no more is read from the engine. */
    private static final int WINDOW_BYTES = 16 * 1024;

    private static final int MAX_HEADERS = 100;

    private final NHttpMessageParser<T> parser;
    private final int maxHeadBytes;
    private final int maxInterimResponses;
    /** Bytes of the current head that the parser has already taken out of the buffer. */
    private int parsedBytes;

    private int interimResponses;

    /**
     * Wraps a parser.
     *
     * @param maxHeadBytes maximum length of one head
     * @param maxInterimResponses maximum number of 1xx heads before a final response
     */
    public MessageHeadParser(NHttpMessageParser<T> parser, int maxHeadBytes, int maxInterimResponses) {
        this.parser = parser;
        this.maxHeadBytes = maxHeadBytes;
        this.maxInterimResponses = maxInterimResponses;
    }

    /**
     * Returns HttpCore's settings for both sides of the gateway, with the limits on a head that HttpCore itself checks.
     */
    public static Http1Config config(Limits limits) {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setInitialWindowSize(WINDOW_BYTES)
                .setMaxHeaderCount(MAX_HEADERS)
                .setMaxLineLength(limits.headBytes())
                .build();
    }

    /**
     * Returns the next head, or null if more of it must arrive first.
     *
     * @throws ConnectionClosedException if the connection has ended; a partial head is discarded then
     * @throws HttpException if the head is malformed or exceeds a limit
     */
    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        if (endOfStream) {
            throw new ConnectionClosedException("closed by the other side");
        }
        int lengthBefore = buffer.length();
        T head = parser.parse(buffer, false);
        parsedBytes += lengthBefore - buffer.length();
        int headBytes = head == null ? parsedBytes + buffer.length() : parsedBytes;
        if (headBytes > maxHeadBytes) {
            throw new RequestHeaderFieldsTooLargeException("the head is over " + maxHeadBytes + " bytes");
        }
        if (head != null) {
            parsedBytes = 0;
            check(head);
            countInterimResponses(head);
        }
        return head;
    }

    private void countInterimResponses(T head) throws ProtocolException {
        boolean interim = head instanceof HttpResponse response && response.getCode() < HttpStatus.SC_SUCCESS;
        interimResponses = interim ? interimResponses + 1 : 0;
        if (interimResponses > maxInterimResponses) {
            throw new ProtocolException("more than " + maxInterimResponses + " interim responses");
        }
    }

    /** Whether a part of the next head has arrived. */
    boolean hasPartialHead(SessionInputBuffer buffer) {
        return parsedBytes > 0 || buffer.hasData();
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /** Throws if a head is malformed or gives the length of its body in an invalid form or more than once. */
    static void check(HttpMessage head) throws ProtocolException {
        int bodyLengths = 0;
        for (Header header : head.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            checkSyntax(header, value);
            if (isBodyLengthHeader(header.getName(), value)) {
                bodyLengths++;
            }
        }
        if (bodyLengths > 1) {
            throw new ProtocolException("the body's length is given more than once");
        }
    }

    private static void checkSyntax(Header header, String value) throws ProtocolException {
        // Checks the line as received: HttpCore replaces some invalid characters in the value by blanks.
        CharSequence line = header instanceof FormattedHeader formatted ? formatted.getBuffer() : value;
        if (!HEADER_NAME.matcher(header.getName()).matches() || hasControlCharacter(line)) {
            throw new ProtocolException("a header is malformed");
        }
    }

    private static boolean hasControlCharacter(CharSequence line) {
        for (int i = 0; i < line.length(); i++) {
            char character = line.charAt(i);
            if (character < ' ' && character != '\t' || character == DELETE) {
                return true;
            }
        }
        return false;
    }

    /** Whether a header gives the length of the body; throws if it gives it in an invalid form. */
    private static boolean isBodyLengthHeader(String name, String value) throws ProtocolException {
        switch (name.toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (!BODY_LENGTH.matcher(value).matches()) {
                    throw new ProtocolException("Content-Length is not a length");
                }
                return true;
            }
            case "transfer-encoding" -> {
                if (!value.equalsIgnoreCase("chunked")) {
                    throw new ProtocolException("Transfer-Encoding is not chunked");
                }
                return true;
            }
            default -> {
                return false;
            }
        }
    }
}

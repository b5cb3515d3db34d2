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
 * Reads heads with a bound on their length, and takes none whose body could be measured in two ways: what one side
 * takes for a body, the other would take for a request behind it (request smuggling). HttpCore's parser alone bounds
 * lines and their count, prefers one of two lengths, and takes what has come of a head for all of it when the
 * connection ends. For its connection's I/O thread alone.
 */
public final class MessageHeadParser<T extends HttpMessage> implements NHttpMessageParser<T> {

    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern BODY_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final char DELETE = 127;
    /** Bytes that are read from a connection at once. */
    private static final int BUFFER_BYTES = 4096;

    private static final int MAX_HEADERS = 100;

    private final NHttpMessageParser<T> parser;
    private final int maxHeadBytes;
    private final int maxInterimAnswers;
    /** Bytes of the head that is being read which the parser has taken out of the buffer. */
    private int parsedBytes;

    private int interimAnswers;

    /**
     * Wraps a parser.
     *
     * @param maxHeadBytes bound on one head
     * @param maxInterimAnswers so many 1xx heads may go before an answer
     */
    public MessageHeadParser(NHttpMessageParser<T> parser, int maxHeadBytes, int maxInterimAnswers) {
        this.parser = parser;
        this.maxHeadBytes = maxHeadBytes;
        this.maxInterimAnswers = maxInterimAnswers;
    }

    /** HttpCore's settings for both sides of the gateway, with the bounds on a head that it has itself. */
    public static Http1Config config(Limits limits) {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxHeaderCount(MAX_HEADERS)
                .setMaxLineLength(limits.headBytes())
                .build();
    }

    /**
     * The next head, or null where more of it has to come first.
     *
     * @throws ConnectionClosedException where the connection has ended; half a head is none
     * @throws HttpException where the head is malformed or over its bounds
     */
    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        if (endOfStream) {
            throw new ConnectionClosedException("closed by the other side");
        }
        int before = buffer.length();
        T head = parser.parse(buffer, false);
        parsedBytes += before - buffer.length();
        int headBytes = head == null ? parsedBytes + buffer.length() : parsedBytes;
        if (headBytes > maxHeadBytes) {
            throw new RequestHeaderFieldsTooLargeException("the head is over " + maxHeadBytes + " bytes");
        }
        if (head != null) {
            parsedBytes = 0;
            check(head);
            countInterim(head);
        }
        return head;
    }

    private void countInterim(T head) throws ProtocolException {
        boolean interim = head instanceof HttpResponse answer && answer.getCode() < HttpStatus.SC_SUCCESS;
        interimAnswers = interim ? interimAnswers + 1 : 0;
        if (interimAnswers > maxInterimAnswers) {
            throw new ProtocolException("over " + maxInterimAnswers + " interim answers");
        }
    }

    /** Whether a part of a head has come. */
    boolean hasPartialHead(SessionInputBuffer buffer) {
        return parsedBytes > 0 || buffer.hasData();
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /** Throws where a head is malformed or the length of its body is not beyond doubt. */
    static void check(HttpMessage head) throws ProtocolException {
        int bodyLengths = 0;
        for (Header header : head.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            checkSyntax(header, value);
            if (givesBodyLength(header.getName(), value)) {
                bodyLengths++;
            }
        }
        if (bodyLengths > 1) {
            throw new ProtocolException("the body's length is given more than once");
        }
    }

    private static void checkSyntax(Header header, String value) throws ProtocolException {
        // The line as it came: the value has blanks for some of what does not belong there.
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

    /** Whether a header tells how long the body is; throws where what it tells is in doubt. */
    private static boolean givesBodyLength(String name, String value) throws ProtocolException {
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

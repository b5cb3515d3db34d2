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
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Reads heads with a bound on their length, and takes none whose body could be measured in two ways: what one side
 * takes for a body, the other would take for a request behind it. HttpCore's parser alone bounds lines and their count,
 * prefers one of two lengths, and takes what has come of a head for all of it when the connection ends.
 */
public final class MessageHeadParser<T extends HttpMessage> implements NHttpMessageParser<T> {

    private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private final NHttpMessageParser<T> parser;
    private final int most;
    private final int mostInterim;
    private int taken;
    private int interim;

    /** Wraps a parser; a head may have {@code most} bytes, and so many 1xx heads may go before an answer. */
    public MessageHeadParser(NHttpMessageParser<T> parser, int most, int mostInterim) {
        this.parser = parser;
        this.most = most;
        this.mostInterim = mostInterim;
    }

    /** HttpCore's settings for both sides of the gateway, with the bounds on a head that it has itself. */
    public static Http1Config config(Limits limits) {
        return Http1Config.custom()
                .setBufferSize(4096)
                .setMaxHeaderCount(100)
                .setMaxLineLength(limits.headBytes())
                .build();
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        if (endOfStream) {
            throw new ConnectionClosedException("closed by the other side");
        }
        int before = buffer.length();
        T head = parser.parse(buffer, false);
        taken += before - buffer.length();
        if (taken + (head == null ? buffer.length() : 0) > most) {
            throw new RequestHeaderFieldsTooLargeException("the head is over " + most + " bytes");
        }
        if (head != null) {
            taken = 0;
            check(head);
            interim = head instanceof HttpResponse answer && answer.getCode() < 200 ? interim + 1 : 0;
            if (interim > mostInterim) {
                throw new ProtocolException("over " + mostInterim + " interim answers");
            }
        }
        return head;
    }

    /** Whether a part of a head has come. */
    boolean begun(SessionInputBuffer buffer) {
        return taken > 0 || buffer.hasData();
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /** Throws where a head is malformed or the length of its body is not beyond doubt. */
    static void check(HttpMessage head) throws ProtocolException {
        int lengths = 0;
        int codings = 0;
        for (Header header : head.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            // The line as it came: the value has blanks for some of what does not belong there.
            CharSequence line = header instanceof FormattedHeader formatted ? formatted.getBuffer() : value;
            if (!NAME.matcher(header.getName()).matches()
                    || line.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
                throw new ProtocolException("a header is malformed");
            }
            switch (header.getName().toLowerCase(Locale.ROOT)) {
                case "content-length" -> {
                    lengths++;
                    if (!LENGTH.matcher(value).matches()) {
                        throw new ProtocolException("Content-Length is not a length");
                    }
                }
                case "transfer-encoding" -> {
                    codings++;
                    if (!value.equalsIgnoreCase("chunked")) {
                        throw new ProtocolException("Transfer-Encoding is not chunked");
                    }
                }
                default -> {}
            }
        }
        if (lengths + codings > 1) {
            throw new ProtocolException("the body's length is given more than once");
        }
    }
}

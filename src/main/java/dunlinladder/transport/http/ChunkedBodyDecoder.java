package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Decodes a chunked body. It stands in for HttpCore's decoder, which takes a chunk of any size and negative ones too,
 * and throws away what it has decoded when a fault or the end follows in the same read. Here a call that brings data
 * never looks at what stands behind it; the fault is the next call's.
 */
public final class ChunkedBodyDecoder implements ContentDecoder {

    private static final Pattern SIZE = Pattern.compile("[0-9A-Fa-f]{1,8}");
    private static final int MOST_LINE = 256;
    private static final int MOST_TRAILERS = 16;

    private enum State {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        DONE
    }

    private final ReadableByteChannel channel;
    private final SessionInputBuffer buffer;
    private final int most;
    private final CharArrayBuffer line = new CharArrayBuffer(32);
    private State state = State.SIZE;
    private int left;
    private int trailers;

    /** Creates a decoder for chunks of at most {@code most} bytes. */
    public ChunkedBodyDecoder(ReadableByteChannel channel, SessionInputBuffer buffer, int most) {
        this.channel = channel;
        this.buffer = buffer;
        this.most = most;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        while (state != State.DONE) {
            if (state == State.DATA) {
                if (!buffer.hasData() && !fill()) {
                    return 0;
                }
                int read = buffer.read(into, left);
                left -= read;
                state = left == 0 ? State.DATA_END : state;
                return read;
            }
            if (!line()) {
                return 0;
            }
            next(line.toString());
        }
        return -1;
    }

    private void next(String text) throws IOException {
        switch (state) {
            case SIZE -> {
                int end = text.indexOf(';');
                String size = (end < 0 ? text : text.substring(0, end)).trim();
                if (!SIZE.matcher(size).matches() || Long.parseLong(size, 16) > most) {
                    throw new MalformedChunkCodingException("not the size of a chunk, or over " + most);
                }
                left = Integer.parseInt(size, 16);
                state = left == 0 ? State.TRAILERS : State.DATA;
            }
            case DATA_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedChunkCodingException("a chunk is longer than its size");
                }
                state = State.SIZE;
            }
            default -> {
                if (++trailers > MOST_TRAILERS) {
                    throw new MalformedChunkCodingException("over " + MOST_TRAILERS + " trailers");
                }
                state = text.isEmpty() ? State.DONE : state;
            }
        }
    }

    private boolean line() throws IOException {
        line.clear();
        while (!buffer.readLine(line, false)) {
            if (buffer.length() > MOST_LINE) {
                throw new MalformedChunkCodingException("a line between chunks is over " + MOST_LINE);
            }
            if (!fill()) {
                return false;
            }
        }
        return true;
    }

    private boolean fill() throws IOException {
        int read = buffer.fill(channel);
        if (read < 0) {
            throw new ConnectionClosedException("the body ended before its last chunk");
        }
        return read > 0;
    }

    @Override
    public boolean isCompleted() {
        return state == State.DONE;
    }

    @Override
    public List<? extends Header> getTrailers() {
        return null;
    }
}

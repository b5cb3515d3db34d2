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
 * Decodes a chunked body (RFC 9112, section 7.1) on its connection's I/O thread. It stands in for HttpCore's decoder,
 * which takes a chunk of any size, negative ones too, and throws away what it has decoded when a fault or the end
 * follows in the same read. Here a call that brings data never looks at what stands behind it; the fault is reported by
 * the next call.
 */
public final class ChunkedBodyDecoder implements ContentDecoder {

    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9A-Fa-f]{1,8}");
    private static final int HEXADECIMAL = 16;
    /** Bytes of a line that holds a chunk's size with its extensions, or a trailer. */
    private static final int MAX_LINE_BYTES = 256;

    private static final int MAX_TRAILERS = 16;
    /** Characters that the line buffer holds before it grows. */
    private static final int LINE_CAPACITY = 32;

    /** What comes next in the body. */
    private enum State {
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        COMPLETE
    }

    private final ReadableByteChannel channel;
    private final SessionInputBuffer buffer;
    private final int maxChunkBytes;
    private final CharArrayBuffer line = new CharArrayBuffer(LINE_CAPACITY);
    private State state = State.CHUNK_SIZE;
    private int remainingBytes;
    private int trailers;

    /** Creates a decoder for chunks of at most {@code maxChunkBytes} bytes. */
    public ChunkedBodyDecoder(ReadableByteChannel channel, SessionInputBuffer buffer, int maxChunkBytes) {
        this.channel = channel;
        this.buffer = buffer;
        this.maxChunkBytes = maxChunkBytes;
    }

    /**
     * Reads a part of the body.
     *
     * @return the number of bytes read, 0 where more has to come first, -1 behind the last chunk
     * @throws MalformedChunkCodingException where the coding is at fault or over its bounds
     * @throws ConnectionClosedException where the connection ended before the last chunk
     */
    @Override
    public int read(ByteBuffer into) throws IOException {
        while (state != State.COMPLETE) {
            if (state == State.CHUNK_DATA) {
                return readData(into);
            }
            if (!readLine()) {
                return 0;
            }
            acceptLine(line.toString());
        }
        return -1;
    }

    private int readData(ByteBuffer into) throws IOException {
        if (!buffer.hasData() && !fillBuffer()) {
            return 0;
        }
        int read = buffer.read(into, remainingBytes);
        remainingBytes -= read;
        if (remainingBytes == 0) {
            state = State.CHUNK_END;
        }
        return read;
    }

    private void acceptLine(String text) throws IOException {
        switch (state) {
            case CHUNK_SIZE -> beginChunk(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedChunkCodingException("a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> acceptTrailer(text);
        }
    }

    private void beginChunk(String text) throws IOException {
        int extensions = text.indexOf(';');
        String size = (extensions < 0 ? text : text.substring(0, extensions)).trim();
        if (!CHUNK_SIZE.matcher(size).matches() || Long.parseLong(size, HEXADECIMAL) > maxChunkBytes) {
            throw new MalformedChunkCodingException("not the size of a chunk, or over " + maxChunkBytes);
        }
        remainingBytes = Integer.parseInt(size, HEXADECIMAL);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void acceptTrailer(String text) throws IOException {
        trailers++;
        if (trailers > MAX_TRAILERS) {
            throw new MalformedChunkCodingException("over " + MAX_TRAILERS + " trailers");
        }
        if (text.isEmpty()) {
            state = State.COMPLETE;
        }
    }

    /** Reads a line whole into {@link #line}; false where more has to come first. */
    private boolean readLine() throws IOException {
        line.clear();
        while (!buffer.readLine(line, false)) {
            if (buffer.length() > MAX_LINE_BYTES) {
                throw new MalformedChunkCodingException("a line between chunks is over " + MAX_LINE_BYTES);
            }
            if (!fillBuffer()) {
                return false;
            }
        }
        return true;
    }

    private boolean fillBuffer() throws IOException {
        int read = buffer.fill(channel);
        if (read < 0) {
            throw new ConnectionClosedException("the body ended before its last chunk");
        }
        return read > 0;
    }

    /** Whether the last chunk and the trailers behind it have been read. */
    @Override
    public boolean isCompleted() {
        return state == State.COMPLETE;
    }

    /** Null: trailers are read and dropped. */
    @Override
    public List<? extends Header> getTrailers() {
        return null;
    }
}

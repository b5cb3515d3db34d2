package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Decodes a chunked body (RFC 9112, section 7.1) on its connection's I/O thread. It replaces HttpCore's decoder, which
 * accepts chunks of any size, even negative ones, and drops decoded data when a fault or the end of the body follows in
 * the same read. Here a call that returns data does not decode the bytes after it; the next call reports the fault.
 */
public final class ChunkedBodyDecoder implements ContentDecoder {

    /** A chunk's size, with the extensions after it. */
    private static final Pattern CHUNK_HEAD = Pattern.compile("[ \\t]*([0-9A-Fa-f]{1,8})[ \\t]*(;.*)?");

    private static final Pattern TRAILER = Pattern.compile("[^:\\s]+:.*");
    private static final int HEXADECIMAL = 16;
    /** Maximum length of a line with a chunk's size and its extensions, or with a trailer. */
    private static final int MAX_LINE_BYTES = 256;

    private static final int MAX_TRAILERS = 16;
    /** Initial capacity of the line buffer, in characters. */
    private static final int INITIAL_LINE_CHARACTERS = 32;

    /** The element of the body that is expected next. */
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
    private final CharArrayBuffer line = new CharArrayBuffer(INITIAL_LINE_CHARACTERS);
    private State state = State.CHUNK_SIZE;
    private int remainingChunkBytes;
    private int trailerCount;

    /** Creates a decoder for chunks of at most {@code maxChunkBytes} bytes. */
    public ChunkedBodyDecoder(ReadableByteChannel channel, SessionInputBuffer buffer, int maxChunkBytes) {
        this.channel = channel;
        this.buffer = buffer;
        this.maxChunkBytes = maxChunkBytes;
    }

    /**
     * Reads a part of the body.
     *
     * @return the number of bytes read, 0 if more input is needed first, -1 after the last chunk
     * @throws MalformedChunkCodingException if the coding is malformed or exceeds a limit
     * @throws ConnectionClosedException if the connection ended before the last chunk
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
            processLine(line.toString());
        }
        return -1;
    }

    private int readData(ByteBuffer into) throws IOException {
        if (!buffer.hasData() && !fillBuffer()) {
            return 0;
        }
        int read = buffer.read(into, remainingChunkBytes);
        remainingChunkBytes -= read;
        if (remainingChunkBytes == 0) {
            state = State.CHUNK_END;
        }
        return read;
    }

    private void processLine(String text) throws IOException {
        switch (state) {
            case CHUNK_SIZE -> beginChunk(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedChunkCodingException("a chunk is longer than its declared size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> processTrailer(text);
        }
    }

    private void beginChunk(String text) throws IOException {
        Matcher head = CHUNK_HEAD.matcher(text);
        if (!head.matches() || Long.parseLong(head.group(1), HEXADECIMAL) > maxChunkBytes) {
            throw new MalformedChunkCodingException(
                    "the chunk size is malformed or over the maximum in bytes of " + maxChunkBytes);
        }
        remainingChunkBytes = Integer.parseInt(head.group(1), HEXADECIMAL);
        state = remainingChunkBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void processTrailer(String text) throws IOException {
        trailerCount++;
        if (trailerCount > MAX_TRAILERS) {
            throw new MalformedChunkCodingException("more than " + MAX_TRAILERS + " trailers");
        }
        if (text.isEmpty()) {
            state = State.COMPLETE;
        } else if (!TRAILER.matcher(text).matches()) {
            throw new MalformedChunkCodingException("a trailer has no name");
        }
    }

    /** Reads a complete line into {@link #line}. Returns false if more input is needed first. */
    private boolean readLine() throws IOException {
        line.clear();
        while (!buffer.readLine(line, false)) {
            if (buffer.length() > MAX_LINE_BYTES) {
                throw new MalformedChunkCodingException(
                        "the length in bytes of a line between chunks is over " + MAX_LINE_BYTES);
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

    /** Whether the last chunk and the trailers after it have been read. */
    @Override
    public boolean isCompleted() {
        return state == State.COMPLETE;
    }

    /** Returns null: trailers are read and discarded. */
    @Override
    public List<? extends Header> getTrailers() {
        return null;
    }
}

package dunlinladder.transport.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The first bytes of a response that is not a stream: a prefill answer or an error. Used by HttpCore's I/O thread only.
 */
final class BoundedResponseBody {

    /** Initial capacity; most bodies are as short as {@code {"cached_tokens":4096}}. */
    private static final int INITIAL_BYTES = 64;

    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);

    /** Creates an empty body; bytes beyond {@code maxBytes} are dropped. */
    BoundedResponseBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Consumes all of {@code piece} and keeps the bytes that fit. */
    void add(ByteBuffer piece) {
        for (int left = maxBytes - bytes.size(); left > 0 && piece.hasRemaining(); left--) {
            bytes.write(piece.get());
        }
        piece.position(piece.limit());
    }

    /** Returns the kept bytes, decoded as UTF-8. */
    String text() {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}

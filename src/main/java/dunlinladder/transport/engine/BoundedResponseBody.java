package dunlinladder.transport.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The start of a response that is no stream: a prefill answer or an error. Used by HttpCore's I/O thread only. */
final class BoundedResponseBody {

    /** Most bodies are as short as {@code {"cached_tokens":4096}}. */
    private static final int INITIAL_BYTES = 64;

    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);

    /** Creates an empty body; what exceeds {@code maxBytes} is left out. */
    BoundedResponseBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes a piece, all of it; keeps what fits. */
    void add(ByteBuffer piece) {
        for (int left = maxBytes - bytes.size(); left > 0 && piece.hasRemaining(); left--) {
            bytes.write(piece.get());
        }
        piece.position(piece.limit());
    }

    /** The kept bytes, read as UTF-8. */
    String text() {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}

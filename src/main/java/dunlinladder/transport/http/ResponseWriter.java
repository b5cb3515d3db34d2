package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Writes the body of one response as fast as the client reads it. Any thread may queue bytes and the end of the
 * response; HttpCore calls {@link #produce} on the connection's I/O thread whenever the connection accepts more bytes.
 *
 * <p>The object's monitor guards all fields. {@code onWritten} callbacks run without the lock, {@code onEnd} runs while
 * it is held.
 */
final class ResponseWriter {

    private static final double NANOS_PER_SECOND = 1e9;

    /** How the response ends once all queued bytes are written. */
    private enum Ending {
        /** Not known yet. */
        PENDING,
        COMPLETE,
        /** The connection is closed without the last chunk. */
        ABORTED
    }

    private record Piece(ByteBuffer bytes, IntConsumer onWritten) {}

    private final Runnable onEnd;
    private final Queue<Piece> pieces = new ArrayDeque<>();
    /** Set once HttpCore has asked for output, null before. */
    private DataStreamChannel output;

    private boolean headClaimed;
    private Ending ending = Ending.PENDING;
    private boolean ended;
    /** {@link System#nanoTime} at which bytes were last written, or were queued while nothing was waiting. */
    private long lastProgressAt;

    /** Creates a writer; {@code onEnd} runs once when the exchange ends, and must not block. */
    ResponseWriter(Runnable onEnd) {
        this.onEnd = onEnd;
    }

    /**
     * Claims the sending of the response head. Returns true for the first call only, and false once the exchange has
     * ended.
     */
    synchronized boolean claimHead() {
        if (headClaimed || ended) {
            return false;
        }
        headClaimed = true;
        return true;
    }

    /** Queues bytes; {@code onWritten} gets the number of bytes each time some of them were written. */
    void write(ByteBuffer bytes, IntConsumer onWritten) {
        synchronized (this) {
            if (ended || ending != Ending.PENDING) {
                return;
            }
            if (pieces.isEmpty()) {
                lastProgressAt = System.nanoTime();
            }
            pieces.add(new Piece(bytes, onWritten));
        }
        requestOutput();
    }

    /** Ends the response once all queued bytes are written. */
    void finish() {
        synchronized (this) {
            if (ending == Ending.PENDING) {
                ending = Ending.COMPLETE;
            }
        }
        requestOutput();
    }

    /** Closes the connection without the last chunk once all queued bytes are written. */
    void abort() {
        synchronized (this) {
            ending = Ending.ABORTED;
        }
        requestOutput();
    }

    private void requestOutput() {
        DataStreamChannel channel;
        synchronized (this) {
            channel = output;
        }
        if (channel != null) {
            channel.requestOutput();
        }
    }

    /** Returns 1 if {@link #produce} has something to do, otherwise 0. */
    synchronized int available() {
        return pieces.isEmpty() && ending == Ending.PENDING ? 0 : 1;
    }

    /**
     * Writes as many bytes as the connection accepts, and ends the response if all are written.
     *
     * @throws ConnectionClosedException if the response must be aborted; HttpCore then closes the connection
     */
    void produce(DataStreamChannel channel) throws IOException {
        boolean wrote = false;
        int written;
        do {
            IntConsumer onWritten;
            synchronized (this) {
                output = channel;
                Piece piece = pieces.peek();
                if (piece == null) {
                    endIfRequested(channel, wrote);
                    return;
                }
                written = channel.write(piece.bytes);
                onWritten = piece.onWritten;
                if (!piece.bytes.hasRemaining()) {
                    pieces.remove();
                }
                if (written > 0) {
                    lastProgressAt = System.nanoTime();
                }
            }
            if (written > 0) {
                wrote = true;
                onWritten.accept(written);
            }
        } while (written > 0);
    }

    /** Must be called with the lock held. */
    private void endIfRequested(DataStreamChannel channel, boolean wrote) throws IOException {
        if (ending == Ending.ABORTED && wrote) {
            // The bytes just written are flushed only before the next call; closing now would lose them.
            channel.requestOutput();
        } else if (ending == Ending.ABORTED && !ended) {
            end();
            throw new ConnectionClosedException("the response was aborted");
        } else if (ending == Ending.COMPLETE && !ended) {
            end();
            channel.endStream();
        }
    }

    /** Whether queued bytes have waited for {@code seconds} without any being written. */
    synchronized boolean isStalled(double seconds) {
        return !pieces.isEmpty() && System.nanoTime() - lastProgressAt > seconds * NANOS_PER_SECOND;
    }

    /** Ends the exchange and drops the bytes not yet written. Returns false if the exchange had ended before. */
    synchronized boolean cancel() {
        if (ended) {
            return false;
        }
        end();
        pieces.clear();
        return true;
    }

    /** Must be called with the lock held. */
    private void end() {
        // Runs before the flag is set: once the exchange has ended, no more of its request may be admitted.
        onEnd.run();
        ended = true;
    }
}

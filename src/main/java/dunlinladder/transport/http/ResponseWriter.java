package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Writes the body of one answer as the client takes it. Any thread may queue bytes and the answer's end; HttpCore calls
 * {@link #produce} on the connection's I/O thread whenever the connection takes more.
 *
 * <p>The object's monitor guards all fields. Whoever queued bytes hears of their writing without the lock;
 * {@code onEnd} runs with it.
 */
final class ResponseWriter {

    private static final double NANOS_PER_SECOND = 1e9;

    /** How the answer is to end once all that is queued is written. */
    private enum Ending {
        /** Not known yet. */
        PENDING,
        COMPLETE,
        /** By a close of the connection without the last chunk. */
        BROKEN
    }

    private record Piece(ByteBuffer bytes, IntConsumer onWritten) {}

    private final Runnable onEnd;
    private final Queue<Piece> pieces = new ArrayDeque<>();
    /** Known once HttpCore has asked for output. */
    private DataStreamChannel output;

    private boolean headClaimed;
    private Ending ending = Ending.PENDING;
    private boolean over;
    /** Nanoseconds of {@link System#nanoTime}: when bytes were last written, or began to wait. */
    private long progressNanos;

    /** Creates a writer; {@code onEnd} runs once, without waiting for anything, when the exchange is over. */
    ResponseWriter(Runnable onEnd) {
        this.onEnd = onEnd;
    }

    /** Whether the caller is to send the answer's head, which is the case once, while the exchange is not over. */
    synchronized boolean claimHead() {
        if (headClaimed || over) {
            return false;
        }
        headClaimed = true;
        return true;
    }

    /** Queues bytes; {@code onWritten} hears how many of them were written, as they are. */
    void write(ByteBuffer bytes, IntConsumer onWritten) {
        synchronized (this) {
            if (over || ending != Ending.PENDING) {
                return;
            }
            if (pieces.isEmpty()) {
                progressNanos = System.nanoTime();
            }
            pieces.add(new Piece(bytes, onWritten));
        }
        requestOutput();
    }

    /** Ends the answer once all is written. */
    void finish() {
        synchronized (this) {
            if (ending == Ending.PENDING) {
                ending = Ending.COMPLETE;
            }
        }
        requestOutput();
    }

    /** Closes the connection without the last chunk once all is written. */
    void abort() {
        synchronized (this) {
            ending = Ending.BROKEN;
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

    /** Over 0 where {@link #produce} has something to do. */
    synchronized int available() {
        return pieces.isEmpty() && ending == Ending.PENDING ? 0 : 1;
    }

    /**
     * Writes as much as the connection takes, and ends the answer where all is written.
     *
     * @throws ConnectionClosedException where the answer is to break off; HttpCore closes the connection then
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
                    endWhereDue(channel, wrote);
                    return;
                }
                written = channel.write(piece.bytes);
                onWritten = piece.onWritten;
                if (!piece.bytes.hasRemaining()) {
                    pieces.remove();
                }
                if (written > 0) {
                    progressNanos = System.nanoTime();
                }
            }
            if (written > 0) {
                wrote = true;
                onWritten.accept(written);
            }
        } while (written > 0);
    }

    /** To be called with the lock held. */
    private void endWhereDue(DataStreamChannel channel, boolean wrote) throws IOException {
        if (ending == Ending.BROKEN && wrote) {
            // What was just written is only flushed before the next call; closing now loses it.
            channel.requestOutput();
        } else if (ending == Ending.BROKEN && !over) {
            end();
            throw new ConnectionClosedException("the stream broke");
        } else if (ending == Ending.COMPLETE && !over) {
            end();
            channel.endStream();
        }
    }

    /** Whether bytes wait of which the client has taken none for so long. */
    synchronized boolean isStalled(double seconds) {
        return !pieces.isEmpty() && System.nanoTime() - progressNanos > seconds * NANOS_PER_SECOND;
    }

    /** Ends the exchange and drops what has not been written; false where it was over. */
    synchronized boolean cancel() {
        if (over) {
            return false;
        }
        end();
        pieces.clear();
        return true;
    }

    /** To be called with the lock held. */
    private void end() {
        // First: once the exchange is over nothing of its request may be admitted any more.
        onEnd.run();
        over = true;
    }
}

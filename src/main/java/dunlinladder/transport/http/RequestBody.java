package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * Collects the body of one request under two limits: the length of this body, and the heap that the data of all
 * requests takes, because many clients with long bodies would fill the memory. Counted is the size of the buffer, and
 * not the bytes received. A body that is no longer needed is still read and discarded up to a limit, because closing
 * the connection midway could lose the response; its buffer is dropped.
 *
 * <p>The I/O thread of the connection adds to the body. The timer may call {@link #expire}, and the thread that ends
 * the exchange calls {@link #release}. The object's monitor guards whether the request completes or expires first.
 */
final class RequestBody {

    /** A discarded body may be this many times as long as the longest accepted body. */
    private static final long DISCARDED_BODY_LENGTH_FACTOR = 16;

    private static final byte[] EMPTY = {};
    private static final int MIN_BUFFER_BYTES = 1024;

    /** The decision on one part of the body. */
    enum Admission {
        ADMITTED,
        /** With this part the body exceeds its limit. */
        TOO_LONG,
        /** With this part the data of all requests exceeds its limit. */
        NO_CAPACITY,
        /** The request was answered or given up before. */
        DISCARDED
    }

    private enum State {
        RECEIVING,
        /** The request has been received in full and accepted. */
        COMPLETE,
        /** The request was answered or given up before its body was complete; the rest is read and discarded. */
        DISCARDED
    }

    private final int maxBytes;
    private final MemoryBudget.Reservation reservation;
    private volatile State state = State.RECEIVING;
    /** Bytes received, discarded ones included; this and the next three fields are used by the I/O thread only. */
    private long receivedBytes;
    /** Length of the body as the client has announced it, or the maximum length. */
    private int expectedBytes;

    private byte[] buffer = EMPTY;
    private int length;

    /** Creates an empty body; {@code reservation} covers its buffer. */
    RequestBody(Limits limits, MemoryBudget.Reservation reservation) {
        this.maxBytes = limits.bodyBytes();
        this.expectedBytes = maxBytes;
        this.reservation = reservation;
    }

    /** Whether a body of {@code bytes} bytes is too long. */
    boolean isTooLong(long bytes) {
        return bytes > maxBytes;
    }

    /** Sets the length that the client has announced; negative if it has not. The buffer will not be larger. */
    void expect(long announcedBytes) {
        expectedBytes = announcedBytes < 0 ? maxBytes : (int) Math.min(maxBytes, announcedBytes);
    }

    /** Discards the rest of the body when it arrives. */
    void discard() {
        state = State.DISCARDED;
    }

    boolean isDiscarded() {
        return state == State.DISCARDED;
    }

    /**
     * Gives up a request that has not been received in full. Returns false, without effect, if it has been; it is
     * accepted then.
     */
    synchronized boolean expire() {
        if (state == State.COMPLETE) {
            return false;
        }
        state = State.DISCARDED;
        return true;
    }

    /** Marks the request as received in full. Returns false if it was answered or given up before. */
    synchronized boolean complete() {
        if (state == State.RECEIVING) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    /** Decides on the next part of {@code size} bytes; pass that part to {@link #consume} afterwards. */
    Admission admit(int size) {
        receivedBytes += size;
        if (isDiscarded()) {
            return Admission.DISCARDED;
        }
        if (isTooLong(receivedBytes)) {
            discard();
            return Admission.TOO_LONG;
        }
        if (!growTo((int) receivedBytes)) {
            discard();
            return Admission.NO_CAPACITY;
        }
        return Admission.ADMITTED;
    }

    /** Makes room for {@code bytes} bytes; returns false if the limit on the data of all requests allows no more. */
    private boolean growTo(int bytes) {
        if (bytes <= buffer.length) {
            return true;
        }
        int doubled = Math.max(MIN_BUFFER_BYTES, 2 * buffer.length);
        int size = Math.max(bytes, Math.min(doubled, expectedBytes));
        if (!reservation.resize(size)) {
            return false;
        }
        buffer = Arrays.copyOf(buffer, size);
        return true;
    }

    /**
     * Stores the part that {@link #admit} decided on, or discards it.
     *
     * @throws ConnectionClosedException if a discarded body exceeds {@link #DISCARDED_BODY_LENGTH_FACTOR} times the
     *     limit
     */
    void consume(ByteBuffer part) throws IOException {
        if (isDiscarded()) {
            dropBuffer();
            part.position(part.limit());
            if (receivedBytes > DISCARDED_BODY_LENGTH_FACTOR * maxBytes) {
                throw new ConnectionClosedException("the discarded body is too long");
            }
        } else {
            int size = part.remaining();
            part.get(buffer, length, size);
            length += size;
        }
    }

    private void dropBuffer() {
        buffer = EMPTY;
        length = 0;
        reservation.resize(0);
    }

    /** Returns the body and drops this object's reference to it; its bytes stay reserved. */
    byte[] takeContent() {
        byte[] content = length == buffer.length ? buffer : Arrays.copyOf(buffer, length);
        buffer = EMPTY;
        length = 0;
        reservation.resize(content.length);
        return content;
    }

    /** Ends the reservation; nothing more of this body is admitted afterwards. */
    void release() {
        reservation.release();
    }
}

package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * Gathers the body of one request within two bounds: its own length, and the sum of all bodies that the gateway holds,
 * as many clients with long bodies would fill the memory. A body that is not wanted any more is read and dropped for a
 * while all the same, since a close midway could lose the answer.
 *
 * <p>The I/O thread of the connection fills it. The timer may call {@link #expire}, and whoever ends the exchange calls
 * {@link #release}: the object's monitor guards what they share with the I/O thread, {@code reservedBytes},
 * {@code released} and the step out of {@code GATHERING}. It is taken while {@link ResponseWriter}'s is held, never the
 * other way round.
 */
final class RequestBody {

    /** A body that is dropped may be so many times as long as the longest that is taken. */
    private static final long MAX_DROPPED_BODIES = 16;

    /** What a part of the body meets. */
    enum Admission {
        ADMITTED,
        /** The body is over its bound, from this part on. */
        TOO_LONG,
        /** The sum of all bodies is over its bound, from this part on. */
        NO_CAPACITY,
        /** The request had been answered or given up before. */
        DROPPED
    }

    private enum State {
        GATHERING,
        /** All of the request is here and has been taken. */
        COMPLETE,
        /** Answered or given up before the body was here, which is then read and thrown away. */
        DROPPED
    }

    private final int maxBytes;
    private final long maxHeldBytes;
    private final AtomicLong heldBytes;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private volatile State state = State.GATHERING;
    /** Bytes that have come, dropped ones included; the I/O thread's alone. */
    private long receivedBytes;

    private int reservedBytes;
    private boolean released;

    /** Creates an empty body; {@code heldBytes} counts the bytes of all bodies that are held. */
    RequestBody(Limits limits, AtomicLong heldBytes) {
        this.maxBytes = limits.bodyBytes();
        this.maxHeldBytes = limits.totalBodyBytes();
        this.heldBytes = heldBytes;
    }

    /** Whether a body of this length, in bytes, is too long. */
    boolean isTooLong(long length) {
        return length > maxBytes;
    }

    /** Has what is still to come dropped. */
    void drop() {
        state = State.DROPPED;
    }

    boolean isDropped() {
        return state == State.DROPPED;
    }

    /** Gives up a request that is not here in full; false where it is, and then it has been taken. */
    synchronized boolean expire() {
        if (state == State.COMPLETE) {
            return false;
        }
        state = State.DROPPED;
        return true;
    }

    /** The request is here in full; false where it had been answered or given up before. */
    synchronized boolean complete() {
        if (state == State.GATHERING) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    /** Decides on the next part, of so many bytes, which is to be given to {@link #consume} then. */
    Admission admit(int size) {
        receivedBytes += size;
        if (isDropped()) {
            return Admission.DROPPED;
        }
        if (isTooLong(receivedBytes)) {
            drop();
            return Admission.TOO_LONG;
        }
        if (!reserve(size)) {
            drop();
            return Admission.NO_CAPACITY;
        }
        return Admission.ADMITTED;
    }

    private synchronized boolean reserve(int size) {
        if (released) {
            return false;
        }
        reservedBytes += size;
        return heldBytes.addAndGet(size) <= maxHeldBytes;
    }

    /**
     * Takes the part that was decided on, or drops it.
     *
     * @throws ConnectionClosedException where what is dropped goes on and on
     */
    void consume(ByteBuffer part) throws IOException {
        if (isDropped()) {
            content.reset();
            part.position(part.limit());
            if (receivedBytes > MAX_DROPPED_BODIES * maxBytes) {
                throw new ConnectionClosedException("the body has no end");
            }
        } else {
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            content.write(bytes);
        }
    }

    /** What has been gathered. */
    byte[] content() {
        return content.toByteArray();
    }

    /** Takes this body out of the sum of all bodies; nothing is admitted behind it. */
    synchronized void release() {
        released = true;
        heldBytes.addAndGet(-reservedBytes);
        reservedBytes = 0;
    }
}

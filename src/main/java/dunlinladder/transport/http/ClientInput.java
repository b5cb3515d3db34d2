package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The input of a client's connection, in which any thread may look for its end. The I/O thread reads a request and the
 * close behind it in two steps, and may be late with the second one; whoever starts work for the client asks here
 * first.
 *
 * <p>The lock is held while the I/O thread handles input, and while another thread looks for the end. That thread moves
 * what has arrived into HttpCore's input buffer, and the I/O thread parses it afterwards.
 */
final class ClientInput {

    private final IOSession session;
    private final ReentrantLock lock = new ReentrantLock();
    /** HttpCore's input buffer; null until the I/O thread has parsed input. Guarded by {@link #lock}. */
    private SessionInputBuffer buffer;
    /** Whether bytes were moved into the buffer for the I/O thread to parse; guarded by {@link #lock}. */
    private boolean unparsed;

    ClientInput(IOSession session) {
        this.session = session;
    }

    /** Sets HttpCore's input buffer; runs on the I/O thread while it handles input. */
    void setBuffer(SessionInputBuffer inputBuffer) {
        buffer = inputBuffer;
    }

    /**
     * Whether the client has closed or reset the connection. Bytes that a client sends without waiting for its answer
     * hide a close behind them until the I/O thread has parsed them.
     *
     * @return false also if the I/O thread is handling input of this connection; it then finds the end itself
     */
    boolean hasEnded() {
        if (!lock.tryLock()) {
            return false;
        }
        try {
            return buffer != null && !unparsed && readsEnd();
        } finally {
            lock.unlock();
        }
    }

    private boolean readsEnd() {
        try {
            int count = buffer.fill(session);
            if (count > 0) {
                unparsed = true;
                // Wakes up the I/O thread: it is not notified of bytes that it need not read any more.
                session.setEvent(SelectionKey.OP_WRITE);
            }
            return count < 0;
        } catch (IOException e) {
            // Reset by the client, or closed here.
            return true;
        }
    }

    /** Returns HttpCore's handler of the connection, which holds the lock while it handles input. */
    IOEventHandler handler(ServerHttp1StreamDuplexer duplexer) {
        return new Handler(duplexer);
    }

    private final class Handler extends ServerHttp1IOEventHandler {

        Handler(ServerHttp1StreamDuplexer duplexer) {
            super(duplexer);
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
            lock.lock();
            try {
                unparsed = false;
                super.inputReady(ioSession, source);
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void outputReady(IOSession ioSession) throws IOException {
            if (hasUnparsedBytes()) {
                inputReady(ioSession, null);
            }
            super.outputReady(ioSession);
        }
    }

    private boolean hasUnparsedBytes() {
        lock.lock();
        try {
            return unparsed;
        } finally {
            lock.unlock();
        }
    }
}

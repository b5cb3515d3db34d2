package dunlinladder.transport.chat;

import dunlinladder.apiformat.JsonFootprint;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits the heap that parsed bodies take: bodies are parsed and translated one at a time, and one whose parsed form
 * would take too much is refused. Safe for use by several threads.
 */
public final class TranslationLimiter {

    private final long maxBytes;
    private final ReentrantLock lock = new ReentrantLock(true);

    /** Creates a limiter; a body may take {@code maxBytes} bytes of heap while it is translated. */
    public TranslationLimiter(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Runs a translation once no other one runs.
     *
     * @param content the body that is translated
     * @param translation must leave nothing parsed behind
     * @throws ChatError if the parsed body would take too much heap
     */
    void translate(byte[] content, Runnable translation) {
        if (JsonFootprint.estimate(content) > maxBytes) {
            throw ChatError.bodyTooComplex();
        }
        lock.lock();
        try {
            translation.run();
        } finally {
            lock.unlock();
        }
    }
}

package dunlinladder.transport.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retries system calls that the process needs and that may fail for a short time, for lack of file descriptors or
 * memory.
 */
public final class TransientFailures {

    private static final Logger LOG = LoggerFactory.getLogger(TransientFailures.class);

    private static final int MAX_TRIES = 40;
    private static final long PAUSE_MILLIS = 50;

    /** A call that may fail. */
    @FunctionalInterface
    public interface Call<T> {

        /** Makes the call. */
        T make() throws IOException;
    }

    private TransientFailures() {}

    /**
     * Repeats a call until it succeeds, for about two seconds.
     *
     * @param name name of the call in the log
     * @throws IOException the last failure, or an {@link InterruptedIOException} if this thread was interrupted during
     *     a pause; its interrupt status is then set
     */
    public static <T> T retry(String name, Call<T> call) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                return call.make();
            } catch (IOException e) {
                if (tries == MAX_TRIES || Thread.currentThread().isInterrupted()) {
                    throw e;
                }
                LOG.warn("event=call_retried call={} tries={} reason=\"{}\"", name, tries, e.toString());
            }
            pause();
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted before the next try");
        }
    }
}

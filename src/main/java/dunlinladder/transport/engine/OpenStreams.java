package dunlinladder.transport.engine;

import dunlinladder.core.DaemonThreads;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The attempts whose streams have begun. No thread waits for their ends: a timer looks for engines that have stopped
 * sending, and one thread runs what follows an end. Safe for use by several threads.
 */
final class OpenStreams {

    private static final Logger LOG = LoggerFactory.getLogger(OpenStreams.class);
    private static final long CHECK_INTERVAL_MS = 50;

    private final Set<EngineCall> calls = ConcurrentHashMap.newKeySet();
    private final ThreadPoolExecutor ends = new ThreadPoolExecutor(
            1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> DaemonThreads.create(task, "stream-end"));

    /** Creates an empty set; {@code timer} checks the streams from now on. */
    OpenStreams(ScheduledExecutorService timer) {
        // A stream may end when the system allows no further thread.
        ends.prestartAllCoreThreads();
        timer.scheduleWithFixedDelay(this::endTimedOut, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the executor of what follows the end of a stream; the tasks run one at a time. */
    Executor ends() {
        return ends;
    }

    /** Adds an attempt whose stream has begun. */
    void add(EngineCall call) {
        calls.add(call);
    }

    private void endTimedOut() {
        for (EngineCall call : calls) {
            try {
                if (call.endsOrTimesOut()) {
                    calls.remove(call);
                }
            } catch (RuntimeException | Error e) {
                // Catches everything: the timer would not check any stream again.
                LOG.error("event=task_failed task=stream-timeouts", e);
            }
        }
    }
}

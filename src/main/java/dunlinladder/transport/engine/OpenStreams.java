package dunlinladder.transport.engine;

import dunlinladder.core.DaemonThreads;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The attempts whose streams have begun. No thread waits for their ends: a timer looks for engines that have stopped
 * sending, and one thread runs what follows an end. Safe for use by several threads.
 */
final class OpenStreams {

    private static final long CHECK_INTERVAL_MS = 50;

    private final Set<EngineCall> calls = ConcurrentHashMap.newKeySet();
    private final ExecutorService ends =
            Executors.newSingleThreadExecutor(task -> DaemonThreads.create(task, "stream-end"));

    /** Creates an empty set; {@code timer} checks the streams from now on. */
    OpenStreams(ScheduledExecutorService timer) {
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
            if (call.hasEndedOrTimesOut()) {
                calls.remove(call);
            }
        }
    }
}

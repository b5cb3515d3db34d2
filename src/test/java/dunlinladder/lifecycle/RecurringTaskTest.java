package dunlinladder.lifecycle;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A run that fails is not the last one. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RecurringTaskTest {

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void runsAgainAfterAFault(boolean byError) throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            timer.scheduleWithFixedDelay(
                    new RecurringTask("test", () -> {
                        runs.countDown();
                        fail(byError);
                    }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            runs.await();
        } finally {
            timer.shutdownNow();
        }
    }

    private static void fail(boolean byError) {
        if (byError) {
            throw new OutOfMemoryError("made by a test");
        }
        throw new IllegalStateException("made by a test");
    }
}

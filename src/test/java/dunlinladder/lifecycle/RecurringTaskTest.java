package dunlinladder.lifecycle;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A task that throws must run again. A scheduled executor alone would drop it. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RecurringTaskTest {

    /** Causes an error where it is logged, as a lack of memory does. */
    private static final class UnprintableException extends IllegalStateException {

        private static final long serialVersionUID = 1;

        @Override
        public String toString() {
            throw new StackOverflowError("thrown by the test");
        }
    }

    /** The failures of a task. */
    enum Failure {
        EXCEPTION,
        ERROR,
        /** Guards against a task that is dropped because its failure could not even be logged. */
        UNPRINTABLE
    }

    @ParameterizedTest
    @EnumSource
    void runsAgainAfterAnExceptionOrError(Failure failure) throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            timer.scheduleWithFixedDelay(
                    new RecurringTask("test", () -> {
                        runs.countDown();
                        fail(failure);
                    }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            runs.await();
        } finally {
            timer.shutdownNow();
        }
    }

    private static void fail(Failure failure) {
        switch (failure) {
            case EXCEPTION -> throw new IllegalStateException("thrown by the test");
            case ERROR -> throw new OutOfMemoryError("thrown by the test");
            case UNPRINTABLE -> throw new UnprintableException();
        }
    }
}

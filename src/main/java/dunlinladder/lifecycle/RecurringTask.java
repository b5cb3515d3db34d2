package dunlinladder.lifecycle;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A recurring task that is run again after a failed run. A scheduled executor alone drops a task that has thrown, and
 * whatever the task monitors would no longer be monitored.
 */
final class RecurringTask implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(RecurringTask.class);

    private final String name;
    private final Runnable task;

    /** A task that {@link #runLoggingErrors} runs. */
    @FunctionalInterface
    interface Body {

        /** Runs once. */
        void run() throws InterruptedException;
    }

    RecurringTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            runLoggingErrors(name, task::run);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task once and logs any exception or error that it throws, except an interruption. */
    static void runLoggingErrors(String name, Body task) throws InterruptedException {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // Errors are caught as well: a thread or memory that is missing now may be available at the next run.
            log(name, e);
        }
    }

    private static void log(String name, Throwable failure) {
        try {
            LOG.error("event=task_failed task={}", name, failure);
        } catch (Error e) {
            // Memory is missing for the log too; the task recurs all the same.
            Thread.onSpinWait();
        }
    }
}

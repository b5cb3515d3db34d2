package dunlinladder.lifecycle;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task that is run again and again, whatever becomes of one run: an executor drops a task for good that has thrown,
 * and what it kept watch over would be watched no more.
 */
final class RecurringTask implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(RecurringTask.class);

    private final String name;
    private final Runnable task;

    /** What {@link #runGuarded} runs. */
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
            runGuarded(name, task::run);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task once and logs what it throws. */
    static void runGuarded(String name, Body task) throws InterruptedException {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // Of any kind, an error too: a thread or memory that is missing now may be there at the next run.
            LOG.error("event=task_failed task={}", name, e);
        }
    }
}

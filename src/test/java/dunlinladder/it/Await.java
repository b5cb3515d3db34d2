package dunlinladder.it;

import java.util.function.BooleanSupplier;

/** Waits for events of other threads and of the gateway's process. */
final class Await {

    private Await() {}

    /** Returns once the condition holds; a test that waits in vain is interrupted at its time limit. */
    static void until(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.currentThread().isInterrupted()) {
                throw new IllegalStateException("the time limit passed before the condition held");
            }
            Thread.yield();
        }
    }
}

package dunlinladder.core;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * The last check of the engine list before the first byte of a send. A decision that was made before an engine began to
 * drain, and has waited since for a thread, a connection or a processor, stops here; so does one that would otherwise
 * overtake an update that has arrived and has not been read.
 *
 * <p>Safe for use by several threads.
 */
public final class SendGuard {

    /** Between two checks whether the update has been read, in nanoseconds. */
    private static final long CHECK_INTERVAL_NANOS = 200_000;

    private final EngineRegistry engines;
    private final Clock clock;
    private final double maxWaitSeconds;
    private volatile BooleanSupplier unreadUpdate = () -> false;

    /** Creates a guard; a send waits at most {@code maxWaitSeconds} for an update to be read. */
    public SendGuard(EngineRegistry engines, Clock clock, double maxWaitSeconds) {
        this.engines = engines;
        this.clock = clock;
        this.maxWaitSeconds = maxWaitSeconds;
    }

    /** Sets the check whether an update has arrived that is not yet in the list. */
    public void setUnreadUpdateCheck(BooleanSupplier check) {
        unreadUpdate = check;
    }

    /** Whether a request may be sent to an engine at this moment; waits where an update is yet to be read. */
    public boolean allows(Engine engine) {
        if (unreadUpdate.getAsBoolean()) {
            double waitUntil = clock.now() + maxWaitSeconds;
            while (unreadUpdate.getAsBoolean() && clock.now() < waitUntil) {
                LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
            }
        }
        return engines.accepts(engine);
    }
}

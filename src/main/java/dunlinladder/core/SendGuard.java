package dunlinladder.core;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * The last look at the engine list before a send's first byte. What was decided before news of a drain, and has waited
 * since for a thread, a connection or a core, stops here; so does what would otherwise overtake news that has arrived
 * but has not been read.
 */
public final class SendGuard {

    /** Between two looks whether the news has been read. */
    private static final long LOOK_NANOS = 200_000;

    private final EngineRegistry engines;
    private final Clock clock;
    private final double waitSeconds;
    private volatile BooleanSupplier unread = () -> false;

    /** Creates a gate; a send waits at most {@code waitSeconds} for news to be read. */
    public SendGuard(EngineRegistry engines, Clock clock, double waitSeconds) {
        this.engines = engines;
        this.clock = clock;
        this.waitSeconds = waitSeconds;
    }

    /** Sets what tells whether news has arrived that is not yet in the list. */
    public void setUnreadUpdateCheck(BooleanSupplier source) {
        unread = source;
    }

    /** Whether a request may start on its way to an engine at this moment. */
    public boolean allows(Engine engine) {
        if (unread.getAsBoolean()) {
            double until = clock.now() + waitSeconds;
            while (unread.getAsBoolean() && clock.now() < until) {
                LockSupport.parkNanos(LOOK_NANOS);
            }
        }
        return engines.accepts(engine);
    }
}

package dunlinladder.lifecycle;

import dunlinladder.core.MonotonicClock;
import dunlinladder.migration.EngineEligibility;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets a migration see that time passes, and logs how far it has come whenever that has changed. Runs on the thread
 * {@code timer} alone.
 */
final class MigrationStatusLog implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(MigrationStatusLog.class);

    private final EngineEligibility eligibility;
    private final MonotonicClock clock;
    private String lastLogged = "";

    MigrationStatusLog(EngineEligibility eligibility, MonotonicClock clock) {
        this.eligibility = eligibility;
        this.clock = clock;
    }

    @Override
    public void run() {
        eligibility.advance(clock.now());
        String status = eligibility.statusText();
        if (!status.equals(lastLogged)) {
            lastLogged = status;
            LOG.info("event=migration_status {}", status);
        }
    }
}

package dunlinladder.lifecycle;

import dunlinladder.core.MonotonicClock;
import dunlinladder.migration.EngineEligibility;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Advances a migration to the current time and logs its status whenever the status has changed. Runs only on the thread
 * {@code timer}.
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

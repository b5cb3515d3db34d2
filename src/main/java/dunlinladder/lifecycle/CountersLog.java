package dunlinladder.lifecycle;

import dunlinladder.core.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a gateway's counters when they have changed. Runs on the gateway's timer thread. */
final class CountersLog implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(CountersLog.class);

    private final Counters counters;
    private String lastLogged = "";

    CountersLog(Counters counters) {
        this.counters = counters;
    }

    @Override
    public void run() {
        String text = counters.logText();
        if (!text.equals(lastLogged)) {
            lastLogged = text;
            log(text);
        }
    }

    /** Logs the counters even if they have not changed. */
    void logUnconditionally() {
        log(counters.logText());
    }

    private static void log(String text) {
        LOG.info("event=counters {}", text);
    }
}

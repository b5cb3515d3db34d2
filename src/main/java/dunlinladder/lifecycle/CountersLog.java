package dunlinladder.lifecycle;

import dunlinladder.core.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a gateway's counts where they have changed; run by the gateway's timer. */
final class CountersLog implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(CountersLog.class);

    private final Counters counters;
    private String logged = "";

    CountersLog(Counters counters) {
        this.counters = counters;
    }

    @Override
    public void run() {
        String text = counters.logText();
        if (!text.equals(logged)) {
            logged = text;
            log(text);
        }
    }

    /** Logs the counts, changed or not. */
    void logAnyway() {
        log(counters.logText());
    }

    private static void log(String text) {
        LOG.info("event=counters {}", text);
    }
}

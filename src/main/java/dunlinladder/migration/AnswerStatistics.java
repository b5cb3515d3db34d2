package dunlinladder.migration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What one generation has answered since a stage opened. Not safe for use by several threads. */
final class AnswerStatistics {

    /** Answers whose time to first token is kept; later ones replace the oldest. */
    private static final int MAX_DELAYS = 256;

    private int answers;
    private int failures;
    private final List<Double> delays = new ArrayList<>();
    private int replaced;

    /**
     * Counts an answer.
     *
     * @param firstTokenSeconds time to first token, NaN where there was none
     */
    void add(boolean failed, double firstTokenSeconds) {
        answers++;
        failures += failed ? 1 : 0;
        if (Double.isNaN(firstTokenSeconds)) {
            return;
        }
        if (delays.size() < MAX_DELAYS) {
            delays.add(firstTokenSeconds);
        } else {
            delays.set(replaced++ % MAX_DELAYS, firstTokenSeconds);
        }
    }

    int answers() {
        return answers;
    }

    int failures() {
        return failures;
    }

    /** The number of times to first token that are kept. */
    int delays() {
        return delays.size();
    }

    /** The lower median of the times to first token in seconds, NaN where there is none. */
    double medianDelay() {
        List<Double> sorted = new ArrayList<>(delays);
        Collections.sort(sorted);
        return sorted.isEmpty() ? Double.NaN : sorted.get((sorted.size() - 1) / 2);
    }

    /** Failures among the answers, 0 to 1; 0 where there are none. */
    double failureFraction() {
        return answers == 0 ? 0 : (double) failures / answers;
    }

    void clear() {
        answers = 0;
        failures = 0;
        delays.clear();
        replaced = 0;
    }
}

package dunlinladder.migration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Counts the answers of one generation since a stage opened, with their failures and their times to first token. Not
 * thread-safe.
 */
final class AnswerStatistics {

    /** Number of times to first token that are kept; each further one replaces the oldest. */
    private static final int MAX_FIRST_TOKEN_TIMES = 256;

    private int answers;
    private int failures;
    private final List<Double> firstTokenTimes = new ArrayList<>();
    private int replacedCount;

    /**
     * Counts an answer.
     *
     * @param failed whether the answer counts as a failure
     * @param firstTokenSeconds time to first token, NaN if there was none
     */
    void add(boolean failed, double firstTokenSeconds) {
        answers++;
        failures += failed ? 1 : 0;
        if (Double.isNaN(firstTokenSeconds)) {
            return;
        }
        if (firstTokenTimes.size() < MAX_FIRST_TOKEN_TIMES) {
            firstTokenTimes.add(firstTokenSeconds);
        } else {
            firstTokenTimes.set(replacedCount++ % MAX_FIRST_TOKEN_TIMES, firstTokenSeconds);
        }
    }

    int answers() {
        return answers;
    }

    int failures() {
        return failures;
    }

    /** Returns the number of times to first token that are kept. */
    int firstTokenCount() {
        return firstTokenTimes.size();
    }

    /** Returns the lower median of the kept times to first token in seconds, NaN if there are none. */
    double medianFirstTokenTime() {
        List<Double> sorted = new ArrayList<>(firstTokenTimes);
        Collections.sort(sorted);
        return sorted.isEmpty() ? Double.NaN : sorted.get((sorted.size() - 1) / 2);
    }

    /** Returns the fraction of the answers that failed, 0 to 1; 0 if there are no answers. */
    double failureFraction() {
        return answers == 0 ? 0 : (double) failures / answers;
    }

    void clear() {
        answers = 0;
        failures = 0;
        firstTokenTimes.clear();
        replacedCount = 0;
    }
}

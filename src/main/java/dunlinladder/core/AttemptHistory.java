package dunlinladder.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The attempts of one request: the facts that were known when each was sent, and how it ended. Whether the request may
 * have run follows from these facts alone. It does not follow from the engine list, which may have lost the engine in
 * the meantime, nor from the routing policy, whose decisions rely on estimates.
 *
 * <p>Not safe for use by several threads; only the thread that drives the request uses it.
 */
public final class AttemptHistory {

    /** The number of attempts of an ordinary request with retries: a prefill, a decode and a retry of each. */
    private static final int INITIAL_CAPACITY = 4;

    private final List<Entry> entries = new ArrayList<>(INITIAL_CAPACITY);

    /** An attempt that may have had an effect: its engine, and the clock time of its send in seconds. */
    record PossibleRun(Engine engine, double sentAt) {}

    /** An attempt; times are clock times in seconds, and {@code outcome} is null until the attempt has ended. */
    private static final class Entry {
        final Attempt attempt;
        final double sentAt;
        double endedAt;
        Outcome outcome;
        AttemptReach reach = AttemptReach.UNWRITTEN;

        Entry(Attempt attempt, double sentAt) {
            this.attempt = attempt;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return attempt.mayHaveEffect()
                    && (outcome == null || !outcome.ending().hadNoEffect());
        }
    }

    /** Records that an attempt is about to be sent, at clock time {@code now} in seconds. */
    public void recordSent(Attempt attempt, double now) {
        entries.add(new Entry(attempt, now));
    }

    /**
     * Records that the attempt that was sent last has ended, at clock time {@code now} in seconds.
     *
     * @param reach the last stage that the attempt is known to have reached
     */
    public void recordEnd(Outcome outcome, AttemptReach reach, double now) {
        Entry last = last();
        last.outcome = outcome;
        last.reach = reach;
        last.endedAt = now;
    }

    /** Returns the number of attempts so far, including the one in flight. */
    public int size() {
        return entries.size();
    }

    /** Whether any attempt may have had an effect; an attempt in flight may. */
    public boolean mayHaveRun() {
        return entries.stream().anyMatch(Entry::mayHaveRun);
    }

    /** Returns the attempts that may have had an effect, in the order of their sends. */
    List<PossibleRun> possibleRuns() {
        return entries.stream()
                .filter(Entry::mayHaveRun)
                .map(entry -> new PossibleRun(entry.attempt.engine(), entry.sentAt))
                .toList();
    }

    /** Returns the outcome of the last attempt; empty when there was no attempt or the last one is in flight. */
    public Optional<Outcome> lastOutcome() {
        return entries.isEmpty() ? Optional.empty() : Optional.ofNullable(last().outcome);
    }

    private Entry last() {
        return entries.get(entries.size() - 1);
    }

    /** Returns all attempts as one line for the log; times are in seconds since the first send. */
    public String logText() {
        StringBuilder text = new StringBuilder("[");
        for (Entry entry : entries) {
            if (text.length() > 1) {
                text.append("; ");
            }
            append(text, entry, entries.get(0).sentAt);
        }
        return text.append(']').toString();
    }

    private static void append(StringBuilder text, Entry entry, double firstSentAt) {
        text.append(entry.attempt.number())
                .append(" at ")
                .append(entry.attempt.engine().id())
                .append(entry.attempt.mayHaveEffect() ? "" : " prefill_only")
                .append(' ')
                .append(Seconds.text(entry.sentAt - firstSentAt))
                .append('-')
                .append(Seconds.text(Math.max(entry.sentAt, entry.endedAt) - firstSentAt))
                .append(' ')
                .append(entry.outcome == null ? "in flight" : entry.outcome.ending());
        if (entry.outcome != null && entry.reach == AttemptReach.WRITTEN) {
            text.append(" unconfirmed");
        }
    }

    @Override
    public String toString() {
        return logText();
    }
}

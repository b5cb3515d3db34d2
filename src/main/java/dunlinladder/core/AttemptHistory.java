package dunlinladder.core;

import java.util.ArrayList;
import java.util.List;

/**
 * What is certain of one request's attempts, as facts of the moment at which each was sent and of how it ended. Whether
 * the request may have run is told from here alone: not from the list, which may have lost the engine meanwhile, nor
 * from the decisions, which go by what is likely.
 *
 * <p>Used by one thread at a time.
 */
public final class AttemptHistory {

    private final List<Entry> entries = new ArrayList<>(4);

    /** One attempt; {@code outcome} is null while it is out. */
    private static final class Entry {
        final Attempt attempt;
        final double sentAt;
        double endedAt;
        Outcome outcome;

        Entry(Attempt attempt, double sentAt) {
            this.attempt = attempt;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return attempt.effect() && (outcome == null || !outcome.ending().neverRan());
        }
    }

    /** An attempt is about to be sent. */
    public void sent(Attempt attempt, double now) {
        entries.add(new Entry(attempt, now));
    }

    /** The attempt that was sent last has ended. */
    public void ended(Outcome outcome, double now) {
        Entry last = entries.get(entries.size() - 1);
        last.outcome = outcome;
        last.endedAt = now;
    }

    /** How many attempts there were. */
    public int size() {
        return entries.size();
    }

    /** Whether any attempt may have had an effect; one that is still out may. */
    public boolean mayHaveRun() {
        return entries.stream().anyMatch(Entry::mayHaveRun);
    }

    /** How the last attempt ended; null where there was none. */
    public Outcome last() {
        return entries.isEmpty() ? null : entries.get(entries.size() - 1).outcome;
    }

    /** One line for the log, times in seconds from the first send. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("[");
        for (Entry entry : entries) {
            text.append(text.length() > 1 ? "; " : "")
                    .append(entry.attempt.number())
                    .append(" at ")
                    .append(entry.attempt.engine().id())
                    .append(entry.attempt.effect() ? "" : " reads")
                    .append(' ')
                    .append(Seconds.text(entry.sentAt - entries.get(0).sentAt))
                    .append('-')
                    .append(Seconds.text(Math.max(entry.sentAt, entry.endedAt) - entries.get(0).sentAt))
                    .append(' ')
                    .append(entry.outcome == null ? "out" : entry.outcome.ending());
        }
        return text.append(']').toString();
    }
}

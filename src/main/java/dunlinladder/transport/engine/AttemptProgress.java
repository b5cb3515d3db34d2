package dunlinladder.transport.engine;

import dunlinladder.core.ArrivalDeadlines;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Outcome;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * How far one attempt has come, until when its engine may be silent, and its outcome, which is set once.
 *
 * <p>HttpCore's I/O thread reports what is sent and received, the client's side what the client has read, and the
 * request's thread waits for the end or gives the attempt up. The lock of this object guards all that changes, so that
 * the phase and the outcome are always looked at together: nothing is sent or passed on behind an outcome.
 */
final class AttemptProgress {

    /** Told of the outcome, once, under the lock and before the waiting thread sees it. */
    @FunctionalInterface
    interface EndListener {

        /**
         * The attempt has ended.
         *
         * @param firstTokenSeconds from the attempt's start to its first event, NaN where there was none
         */
        void ended(Outcome outcome, double firstTokenSeconds);
    }

    /** What events are to their attempt. */
    enum Arrival {
        /** The attempt has ended; the events are not passed on. */
        AFTER_END,
        /** They begin the stream. */
        FIRST,
        /** They continue the stream. */
        LATER
    }

    private static final double NANOS_PER_SECOND = 1e9;

    /** The deadline moves with each event, so a waiting thread looks at it this often in one allowed silence. */
    private static final int CHECKS_PER_SILENCE = 8;

    private final MonotonicClock clock;
    private final Deadlines deadlines;
    private final EndListener listener;
    private final double startedAt;
    private final CountDownLatch ended = new CountDownLatch(1);
    private AttemptPhase phase = AttemptPhase.CONNECTING;
    private double writtenAt = Double.NaN;
    private boolean overdueReported;
    private double firstEventAt = Double.NaN;
    private double lastActivityAt;
    private int unreadBytes;
    private Outcome outcome;

    /**
     * Until when the engine may be silent.
     *
     * @param arrival until when the request must have been written, and have been answered by a first byte
     * @param firstEvent time by the clock until which the first event must have come
     * @param streamSeconds silence within the stream after which the attempt has timed out
     */
    record Deadlines(ArrivalDeadlines arrival, double firstEvent, double streamSeconds) {}

    /** Starts now. */
    AttemptProgress(MonotonicClock clock, Deadlines deadlines, EndListener listener) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.listener = listener;
        this.startedAt = clock.now();
    }

    // ---- Sending ----

    /** There is a connection, on which the request is being written. */
    synchronized void connected() {
        phase = phase == AttemptPhase.CONNECTING ? AttemptPhase.WRITING : phase;
    }

    /**
     * To be asked before each write of the body, any of which may bring out the last byte.
     *
     * @return whether to write; false when the attempt has ended, perhaps as one that was never sent
     */
    synchronized boolean beginWrite() {
        if (hasEnded()) {
            return false;
        }
        requestWritten();
        return true;
    }

    /** The write left bytes of the body behind. */
    synchronized void requestIncomplete() {
        phase = phase == AttemptPhase.WRITTEN ? AttemptPhase.WRITING : phase;
    }

    /** The last byte of the request goes out. */
    synchronized void requestWritten() {
        if (phase.compareTo(AttemptPhase.WRITTEN) < 0) {
            phase = AttemptPhase.WRITTEN;
            writtenAt = clock.now();
        }
    }

    /** A byte of the answer has come: the engine has read the request. */
    synchronized void confirmed() {
        phase = phase.compareTo(AttemptPhase.CONFIRMED) < 0 ? AttemptPhase.CONFIRMED : phase;
    }

    /** Whether it was written and its answer has not begun in time; true once. */
    synchronized boolean becameOverdue() {
        boolean overdue = phase == AttemptPhase.WRITTEN
                && !overdueReported
                && !hasEnded()
                && clock.now() >= deadlines.arrival().confirmedWhenWrittenAt(writtenAt);
        overdueReported |= overdue;
        return overdue;
    }

    // ---- Streaming ----

    /** Events of {@code bytes} bytes have come from the engine; they count as unread until the client takes them. */
    synchronized Arrival eventsArrived(int bytes) {
        if (hasEnded()) {
            return Arrival.AFTER_END;
        }
        boolean first = phase != AttemptPhase.STREAMING;
        firstEventAt = first ? clock.now() : firstEventAt;
        phase = AttemptPhase.STREAMING;
        lastActivityAt = clock.now();
        unreadBytes += bytes;
        return first ? Arrival.FIRST : Arrival.LATER;
    }

    /** The client has taken bytes of the events. */
    synchronized void eventsTaken(int bytes) {
        unreadBytes -= bytes;
        lastActivityAt = clock.now();
    }

    /** Whether an event has come. */
    synchronized boolean isStreaming() {
        return phase == AttemptPhase.STREAMING;
    }

    // ---- Ending ----

    /** Sets the outcome, unless there is one. */
    synchronized void end(Outcome result) {
        if (hasEnded()) {
            return;
        }
        listener.ended(result, firstEventAt - startedAt);
        outcome = result;
        ended.countDown();
    }

    /** Sets the outcome, unless there is one or the stream has begun; whether no stream has. */
    synchronized boolean endUnlessStreaming(Outcome result) {
        if (phase == AttemptPhase.STREAMING) {
            return false;
        }
        end(result);
        return true;
    }

    /** The connection broke or never came up. */
    synchronized void endBroken() {
        end(Outcome.of(phase.endingWhenBroken()));
    }

    /** Ends the attempt if its deadline has passed, and tells whether that is so. */
    synchronized boolean endIfTimedOut() {
        if (clock.now() < deadline()) {
            return false;
        }
        end(Outcome.of(phase.endingWhenTimedOut()));
        return true;
    }

    /** Whether there is an outcome. */
    boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /**
     * Waits for the outcome, at most until the deadline as it is now, and less while that may still move.
     *
     * @return whether there is an outcome
     */
    boolean awaitEnd() throws InterruptedException {
        double left = nextDeadline() - clock.now();
        double seconds = Math.max(0, Math.min(left, deadlines.streamSeconds() / CHECKS_PER_SILENCE));
        // An outcome that is there is returned to an interrupted thread, too.
        return hasEnded() || ended.await((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /** The outcome; to be asked only when {@link #awaitEnd} has found one. */
    synchronized Outcome outcome() {
        return outcome;
    }

    /** The end of the attempt, or the time at which an answer to it is missed, if that is earlier. */
    private synchronized double nextDeadline() {
        if (overdueReported || phase.compareTo(AttemptPhase.CONFIRMED) >= 0) {
            return deadline();
        }
        if (phase == AttemptPhase.WRITTEN) {
            return Math.min(deadlines.arrival().confirmedWhenWrittenAt(writtenAt), deadline());
        }
        // It may be written meanwhile, so that the answer is missed from then on.
        double confirmed = deadlines.arrival().confirmed();
        return confirmed > clock.now() ? Math.min(confirmed, deadline()) : deadline();
    }

    /**
     * Until it is written, as long as what waits for it may wait; until the stream begins, as long as the attempt may
     * take. From then on an engine that is silent would keep its client waiting for good; it is not silent while the
     * client has not read what came.
     */
    private synchronized double deadline() {
        return switch (phase) {
            case CONNECTING, WRITING -> Math.min(deadlines.arrival().written(), deadlines.firstEvent());
            case WRITTEN, CONFIRMED -> deadlines.firstEvent();
            case STREAMING -> (unreadBytes > 0 ? clock.now() : lastActivityAt) + deadlines.streamSeconds();
        };
    }
}

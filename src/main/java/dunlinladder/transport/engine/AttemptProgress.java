package dunlinladder.transport.engine;

import dunlinladder.core.ArrivalDeadlines;
import dunlinladder.core.Outcome;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * The phase of one attempt, its deadlines, and its outcome, which is set once. Times are clock times in seconds.
 *
 * <p>HttpCore's I/O thread reports the bytes sent and received, the client's side reports the bytes delivered to the
 * client, and the request's thread waits for the stream and gives the attempt up. The lock of this object guards all
 * mutable fields. The phase and the outcome are always checked together, so that nothing is sent or forwarded after the
 * outcome is set.
 */
final class AttemptProgress {

    /** Receives the outcome, once; called with the lock held, before the waiting thread sees the outcome. */
    @FunctionalInterface
    interface EndListener {

        /**
         * Reports that the attempt has ended.
         *
         * @param firstTokenSeconds seconds from the attempt's start to its first event, NaN if there was none
         */
        void ended(Outcome outcome, double firstTokenSeconds);
    }

    /** Position of received events in the stream of their attempt. */
    enum StreamPosition {
        /** The attempt has already ended; the events are not forwarded. */
        AFTER_END,
        /** The events are the first of the stream. */
        FIRST,
        /** The events continue the stream. */
        LATER
    }

    private static final double NANOS_PER_SECOND = 1e9;

    /** The longest wait between two checks of the deadline, which moves when the request has been written. */
    private static final double MAX_WAIT_SECONDS = 0.5;

    /** Returns the clock time. */
    private final DoubleSupplier clock;

    private final Deadlines deadlines;
    private final EndListener listener;
    private final double startedAt;
    private final Executor streamEnds;
    /** Released when the stream begins, or the attempt ends without one. */
    private final CountDownLatch settled = new CountDownLatch(1);

    private AttemptPhase phase = AttemptPhase.CONNECTING;
    private double writtenAt = Double.NaN;
    private boolean overdueReported;
    private double firstEventAt = Double.NaN;
    private double lastActivityAt;
    /** Time since which an event has been incomplete and could have been received; NaN if none is. */
    private double eventIncompleteSince = Double.NaN;

    private int undeliveredBytes;
    private Outcome outcome;
    private volatile boolean ended;
    /** Receives the outcome of an attempt whose stream has begun; null if none is set. */
    private Consumer<Outcome> endTask;

    /**
     * The deadlines of an attempt.
     *
     * @param arrival deadlines by which the request must be written and the first byte of its answer must be received
     * @param firstEvent clock time in seconds by which the first event must be received
     * @param streamSeconds seconds of silence within the stream after which the attempt times out
     * @param eventSeconds seconds within which an event of the stream must be complete, however slowly it comes
     */
    record Deadlines(ArrivalDeadlines arrival, double firstEvent, double streamSeconds, double eventSeconds) {}

    /**
     * Creates the progress of an attempt that starts now.
     *
     * @param clock returns the clock time
     * @param streamEnds runs the task of {@link #onEnd}
     */
    AttemptProgress(DoubleSupplier clock, Deadlines deadlines, Executor streamEnds, EndListener listener) {
        this.clock = clock;
        this.streamEnds = streamEnds;
        this.deadlines = deadlines;
        this.listener = listener;
        this.startedAt = clock.getAsDouble();
    }

    // ---- Sending ----

    /** Reports that the connection is established and the request is being written. */
    synchronized void connected() {
        phase = phase == AttemptPhase.CONNECTING ? AttemptPhase.WRITING : phase;
    }

    /**
     * Called before each write of the body, because any write may send the last byte.
     *
     * @return whether to write; false if the attempt has ended, in which case it may count as never sent
     */
    synchronized boolean beginWrite() {
        if (hasEnded()) {
            return false;
        }
        requestWritten();
        return true;
    }

    /** Reports that the last write did not send the whole body. */
    synchronized void requestIncomplete() {
        phase = phase == AttemptPhase.WRITTEN ? AttemptPhase.WRITING : phase;
    }

    /** Reports that the last byte of the request is being written. */
    synchronized void requestWritten() {
        if (phase.compareTo(AttemptPhase.WRITTEN) < 0) {
            phase = AttemptPhase.WRITTEN;
            writtenAt = clock.getAsDouble();
        }
    }

    /** Reports that a byte of the answer was received: the engine's process has read the request. */
    synchronized void confirmed() {
        phase = phase.compareTo(AttemptPhase.CONFIRMED) < 0 ? AttemptPhase.CONFIRMED : phase;
    }

    /** Whether the request was written and its answer has not begun in time; returns true only once. */
    synchronized boolean becameOverdue() {
        boolean overdue = phase == AttemptPhase.WRITTEN
                && !overdueReported
                && !hasEnded()
                && clock.getAsDouble() >= deadlines.arrival().confirmedWhenWrittenAt(writtenAt);
        overdueReported |= overdue;
        return overdue;
    }

    // ---- Streaming ----

    /**
     * Reports that events of {@code bytes} bytes were received from the engine. They count as undelivered until
     * {@link #eventsDelivered} is called.
     */
    synchronized StreamPosition eventsArrived(int bytes) {
        if (hasEnded()) {
            return StreamPosition.AFTER_END;
        }
        boolean first = phase != AttemptPhase.STREAMING;
        firstEventAt = first ? clock.getAsDouble() : firstEventAt;
        phase = AttemptPhase.STREAMING;
        lastActivityAt = clock.getAsDouble();
        eventIncompleteSince = Double.NaN;
        undeliveredBytes += bytes;
        settled.countDown();
        return first ? StreamPosition.FIRST : StreamPosition.LATER;
    }

    /**
     * Reports that bytes of the stream were received, after the events that they completed were reported. An engine
     * that writes a long event slowly is not silent.
     *
     * @param eventIncomplete whether a part of an event is waiting for its rest
     */
    synchronized void bytesArrived(boolean eventIncomplete) {
        lastActivityAt = clock.getAsDouble();
        if (!eventIncomplete) {
            eventIncompleteSince = Double.NaN;
        } else if (Double.isNaN(eventIncompleteSince)) {
            eventIncompleteSince = lastActivityAt;
        }
    }

    /** Reports that {@code bytes} bytes of the events were delivered to the client. */
    synchronized void eventsDelivered(int bytes) {
        undeliveredBytes -= bytes;
        lastActivityAt = clock.getAsDouble();
        if (!Double.isNaN(eventIncompleteSince)) {
            // Until now the engine may have been kept from sending the rest.
            eventIncompleteSince = lastActivityAt;
        }
    }

    /** Whether an event was received. */
    synchronized boolean isStreaming() {
        return phase == AttemptPhase.STREAMING;
    }

    // ---- Ending ----

    /** Sets the outcome unless there already is one. */
    synchronized void end(Outcome result) {
        if (hasEnded()) {
            return;
        }
        listener.ended(result, firstEventAt - startedAt);
        outcome = result;
        ended = true;
        settled.countDown();
        runEndTask();
    }

    /** Has a task run with the outcome once there is one. */
    synchronized void onEnd(Consumer<Outcome> task) {
        endTask = task;
        runEndTask();
    }

    /**
     * Passes the end task on, unless it was passed on before or there is no outcome yet.
     *
     * @return whether the task has been passed on; false also if there was no memory for it, so that this method is to
     *     be called again
     */
    synchronized boolean runEndTask() {
        if (outcome == null || endTask == null) {
            return outcome != null;
        }
        Consumer<Outcome> task = endTask;
        Outcome result = outcome;
        try {
            streamEnds.execute(() -> task.accept(result));
            endTask = null;
        } catch (OutOfMemoryError e) {
            return false;
        }
        return true;
    }

    /**
     * Sets the outcome unless there already is one or the stream has begun.
     *
     * @return whether the stream has not begun
     */
    synchronized boolean endUnlessStreaming(Outcome result) {
        if (phase == AttemptPhase.STREAMING) {
            return false;
        }
        end(result);
        return true;
    }

    /** Ends the attempt because the connection broke or could not be established. */
    synchronized void endBroken() {
        end(Outcome.of(phase.endingWhenBroken()));
    }

    /**
     * Ends the attempt if its deadline has passed.
     *
     * @return whether it has, and the attempt had not ended before
     */
    synchronized boolean endIfTimedOut() {
        if (hasEnded() || clock.getAsDouble() < deadline()) {
            return false;
        }
        end(Outcome.of(phase.endingWhenTimedOut()));
        return true;
    }

    /** Whether there is an outcome. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Waits until the attempt has ended or its stream has begun, at most until the next deadline. The wait is shorter
     * if the deadline may still move; the caller then waits again.
     *
     * @return whether one of the two is the case
     */
    boolean awaitEndOrStream() throws InterruptedException {
        double remainingSeconds = nextDeadline() - clock.getAsDouble();
        double seconds = Math.max(0, Math.min(remainingSeconds, MAX_WAIT_SECONDS));
        // An interrupted thread also gets an outcome that is already there.
        return hasEnded() || settled.await((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /** Returns the outcome; empty if there is none yet. */
    synchronized Optional<Outcome> outcome() {
        return Optional.ofNullable(outcome);
    }

    /** Returns the deadline of the attempt, or the time at which its answer becomes overdue if that is earlier. */
    private synchronized double nextDeadline() {
        if (overdueReported || phase.compareTo(AttemptPhase.CONFIRMED) >= 0) {
            return deadline();
        }
        if (phase == AttemptPhase.WRITTEN) {
            return Math.min(deadlines.arrival().confirmedWhenWrittenAt(writtenAt), deadline());
        }
        // The request may be written during the wait, and its answer may then be overdue from this time on.
        double confirmationDeadline = deadlines.arrival().confirmed();
        return confirmationDeadline > clock.getAsDouble() ? Math.min(confirmationDeadline, deadline()) : deadline();
    }

    /**
     * Returns the deadline of the current phase in clock seconds. Until the request is written, it is the time until
     * which the KV cache may wait for the request, but no later than the deadline of the first event. Until the stream
     * begins, it is the deadline of the first event. After that, an engine that stays silent for {@code streamSeconds},
     * or does not complete an event within {@code eventSeconds}, times out; otherwise its client would wait forever.
     * The engine does not count as silent while received events are not delivered to the client.
     */
    private synchronized double deadline() {
        return switch (phase) {
            case CONNECTING, WRITING -> Math.min(deadlines.arrival().written(), deadlines.firstEvent());
            case WRITTEN, CONFIRMED -> deadlines.firstEvent();
            case STREAMING -> streamDeadline();
        };
    }

    private double streamDeadline() {
        if (undeliveredBytes > 0) {
            return clock.getAsDouble() + deadlines.streamSeconds();
        }
        double silenceDeadline = lastActivityAt + deadlines.streamSeconds();
        return Double.isNaN(eventIncompleteSince)
                ? silenceDeadline
                : Math.min(silenceDeadline, eventIncompleteSince + deadlines.eventSeconds());
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.ArrivalDeadlines;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The outcome of an attempt in each phase; an attempt has exactly one outcome. */
class AttemptProgressTest {

    private final List<Ending> endings = new ArrayList<>();

    /** Creates an attempt that times out at once without an event, and {@code streamSeconds} after an event. */
    private AttemptProgress progress(double streamSeconds) {
        return new AttemptProgress(
                new MonotonicClock()::now,
                new AttemptProgress.Deadlines(new ArrivalDeadlines(0, 0, 0), 0, streamSeconds, 60),
                Runnable::run,
                (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
    }

    @Test
    void brokenConnectionEndsAsConnectFailedBeforeTheLastByteAndAsResetAfterIt() {
        AttemptProgress unwritten = progress(1);
        assertTrue(unwritten.beginWrite());
        unwritten.requestIncomplete();
        unwritten.endBroken();
        AttemptProgress written = progress(1);
        assertTrue(written.beginWrite());
        written.endBroken();
        AttemptProgress streaming = progress(1);
        assertEquals(AttemptProgress.StreamPosition.FIRST, streaming.eventsArrived(1));
        streaming.endBroken();
        assertEquals(List.of(Ending.CONNECT_FAILED, Ending.RESET, Ending.RESET), endings);
    }

    @Test
    void timeoutEndsAsConnectFailedTimeoutOrResetDependingOnThePhase() {
        assertTrue(progress(1).endIfTimedOut());
        AttemptProgress written = progress(1);
        written.requestWritten();
        assertTrue(written.endIfTimedOut());
        AttemptProgress streaming = progress(0);
        streaming.eventsArrived(1);
        streaming.eventsDelivered(1);
        assertTrue(streaming.endIfTimedOut());
        assertEquals(List.of(Ending.CONNECT_FAILED, Ending.TIMEOUT, Ending.RESET), endings);
    }

    /**
     * A KV cache waits for the request to arrive, so an unwritten attempt is given up long before the client's
     * deadline.
     */
    @Test
    void unwrittenAttemptEndsAtTheArrivalDeadlineAndWrittenOneNotBeforeTheFirstEventDeadline() {
        MonotonicClock clock = new MonotonicClock();
        AttemptProgress.Deadlines deadlines =
                new AttemptProgress.Deadlines(new ArrivalDeadlines(0, 0, 0), clock.now() + 1000, 1, 60);
        AttemptProgress unwritten = new AttemptProgress(
                clock::now, deadlines, Runnable::run, (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        assertTrue(unwritten.endIfTimedOut());
        assertFalse(unwritten.beginWrite());
        AttemptProgress written = new AttemptProgress(
                clock::now, deadlines, Runnable::run, (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        written.requestWritten();
        assertFalse(written.endIfTimedOut());
        assertEquals(List.of(Ending.CONNECT_FAILED), endings);
    }

    /**
     * Bytes that were handed to the kernel may not have been read by the engine, so its answer has to begin by a
     * deadline.
     */
    @Test
    void writtenAttemptBecomesOverdueOnceUnlessItIsConfirmedOrEnded() {
        AttemptProgress unwritten = progress(1);
        unwritten.connected();
        assertFalse(unwritten.becameOverdue());
        AttemptProgress written = progress(1);
        written.requestWritten();
        assertTrue(written.becameOverdue());
        assertFalse(written.becameOverdue());
        AttemptProgress confirmed = progress(1);
        confirmed.requestWritten();
        confirmed.confirmed();
        assertFalse(confirmed.becameOverdue());
        AttemptProgress ended = progress(1);
        ended.requestWritten();
        ended.endBroken();
        assertFalse(ended.becameOverdue());
    }

    @Test
    void streamDoesNotTimeOutWhileEventsAreUndelivered() {
        AttemptProgress streaming = progress(1000);
        streaming.eventsArrived(2);
        streaming.eventsDelivered(1);
        assertFalse(streaming.endIfTimedOut());
        assertEquals(List.of(), endings);
    }

    @Test
    void firstOutcomeIsKeptAndNothingIsSentOrForwardedAfterIt() throws InterruptedException {
        AttemptProgress progress = progress(1);
        progress.end(Outcome.of(Ending.CANCELLED));
        progress.endBroken();
        assertTrue(progress.hasEnded());
        assertTrue(progress.awaitEndOrStream());
        assertEquals(Ending.CANCELLED, progress.outcome().orElseThrow().ending());
        assertFalse(progress.beginWrite());
        assertEquals(AttemptProgress.StreamPosition.AFTER_END, progress.eventsArrived(1));
        assertEquals(List.of(Ending.CANCELLED), endings);
    }

    /**
     * Creates a stream whose engine may be silent for 4 s, and may take 20 s for an event; {@code now} is the clock.
     */
    private AttemptProgress stream(double[] now) {
        AttemptProgress progress = new AttemptProgress(
                () -> now[0],
                new AttemptProgress.Deadlines(new ArrivalDeadlines(9, 9, 9), 9, 4, 20),
                Runnable::run,
                (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        progress.eventsArrived(1);
        progress.eventsDelivered(1);
        return progress;
    }

    /** Guards against a long answer that is cut off while its engine still writes it slowly (report 906079, a). */
    @Test
    void anEngineThatWritesAnEventSlowlyIsNotSilent() {
        double[] now = {0};
        AttemptProgress progress = stream(now);
        for (double seconds : new double[] {3, 6, 9, 12, 15, 18, 21, 22.9}) {
            now[0] = seconds;
            assertFalse(progress.endIfTimedOut(), seconds + " s");
            progress.bytesArrived(true);
        }
        now[0] = 23;
        assertTrue(progress.endIfTimedOut(), "an event may take 20 s from its first byte");
        assertEquals(List.of(Ending.RESET), endings);
    }

    @Test
    void anEngineThatStopsWithinAnEventIsSilent() {
        double[] now = {0};
        AttemptProgress progress = stream(now);
        progress.bytesArrived(true);
        now[0] = 4;
        assertTrue(progress.endIfTimedOut());
        assertFalse(progress.endIfTimedOut(), "it has ended before");
    }

    /** Guards against a request without a final answer whose stream ends while there is no memory. */
    @Test
    void passesTheEndOnAgainWhenThereWasNoMemoryForIt() {
        List<Outcome> ends = new ArrayList<>();
        int[] failures = {1};
        AttemptProgress progress = new AttemptProgress(
                () -> 0,
                new AttemptProgress.Deadlines(new ArrivalDeadlines(9, 9, 9), 9, 4, 20),
                task -> {
                    if (failures[0]-- > 0) {
                        throw new OutOfMemoryError("thrown by the test");
                    }
                    task.run();
                },
                (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        progress.eventsArrived(1);
        progress.onEnd(ends::add);
        assertFalse(progress.runEndTask(), "there is no outcome yet");
        progress.endBroken();
        assertEquals(List.of(), ends);
        assertTrue(progress.runEndTask());
        assertTrue(progress.runEndTask());
        assertEquals(List.of(Outcome.of(Ending.RESET)), ends);
    }
}

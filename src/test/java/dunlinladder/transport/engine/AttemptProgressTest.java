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

/** What the end of an attempt proves in each phase, and that it has one end. */
class AttemptProgressTest {

    private final List<Ending> endings = new ArrayList<>();

    /** Without an event an attempt has timed out at once; with one, after {@code streamSeconds}. */
    private AttemptProgress progress(double streamSeconds) {
        return new AttemptProgress(
                new MonotonicClock(),
                new AttemptProgress.Deadlines(new ArrivalDeadlines(0, 0, 0), 0, streamSeconds),
                (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
    }

    @Test
    void breakBeforeTheLastByteIsAFailedConnectionAndAfterItAReset() {
        AttemptProgress unsent = progress(1);
        assertTrue(unsent.beginWrite());
        unsent.requestIncomplete();
        unsent.endBroken();
        AttemptProgress sent = progress(1);
        assertTrue(sent.beginWrite());
        sent.endBroken();
        AttemptProgress streaming = progress(1);
        assertEquals(AttemptProgress.Arrival.FIRST, streaming.eventsArrived(1));
        streaming.endBroken();
        assertEquals(List.of(Ending.CONNECT_FAILED, Ending.RESET, Ending.RESET), endings);
    }

    @Test
    void silenceEndsAsFailedConnectionAsTimeoutOrAsResetByPhase() {
        assertTrue(progress(1).endIfTimedOut());
        AttemptProgress sent = progress(1);
        sent.requestWritten();
        assertTrue(sent.endIfTimedOut());
        AttemptProgress streaming = progress(0);
        streaming.eventsArrived(1);
        streaming.eventsTaken(1);
        assertTrue(streaming.endIfTimedOut());
        assertEquals(List.of(Ending.CONNECT_FAILED, Ending.TIMEOUT, Ending.RESET), endings);
    }

    /** A KV cache waits for the request to arrive, so that it is given up long before the client's deadline. */
    @Test
    void attemptThatIsNotOutInTimeEndsAsNeverSentAndOneThatIsMayTakeAsLongAsItsClientWaits() {
        MonotonicClock clock = new MonotonicClock();
        AttemptProgress.Deadlines deadlines =
                new AttemptProgress.Deadlines(new ArrivalDeadlines(0, 0, 0), clock.now() + 1000, 1);
        AttemptProgress unsent =
                new AttemptProgress(clock, deadlines, (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        assertTrue(unsent.endIfTimedOut());
        assertFalse(unsent.beginWrite());
        AttemptProgress sent =
                new AttemptProgress(clock, deadlines, (outcome, firstTokenSeconds) -> endings.add(outcome.ending()));
        sent.requestWritten();
        assertFalse(sent.endIfTimedOut());
        assertEquals(List.of(Ending.CONNECT_FAILED), endings);
    }

    /** Bytes that were handed to the kernel prove nothing: the engine has until then to show that it read them. */
    @Test
    void attemptBecomesOverdueOnceUnlessAByteOfItsAnswerCame() {
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
    void streamDoesNotTimeOutWhileTheClientHasNotReadWhatCame() {
        AttemptProgress streaming = progress(1000);
        streaming.eventsArrived(2);
        streaming.eventsTaken(1);
        assertFalse(streaming.endIfTimedOut());
        assertEquals(List.of(), endings);
    }

    @Test
    void firstOutcomeStaysAndNothingIsSentOrPassedOnBehindIt() throws InterruptedException {
        AttemptProgress progress = progress(1);
        progress.end(Outcome.of(Ending.CANCELLED));
        progress.endBroken();
        assertTrue(progress.hasEnded());
        assertTrue(progress.awaitEnd());
        assertEquals(Ending.CANCELLED, progress.outcome().ending());
        assertFalse(progress.beginWrite());
        assertEquals(AttemptProgress.Arrival.AFTER_END, progress.eventsArrived(1));
        assertEquals(List.of(Ending.CANCELLED), endings);
    }
}

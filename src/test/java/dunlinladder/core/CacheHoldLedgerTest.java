package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Outcome.Ending;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A KV cache that is held too long is counted; only an attempt that has certainly arrived stops its time. */
class CacheHoldLedgerTest {

    private final Counters counters = new Counters();
    private final CacheHoldLedger ledger = new CacheHoldLedger(0.5, counters);

    private Attempt attempt(boolean mayHaveEffect) {
        return TestAttempts.attempt(0, EngineBuilder.engine("e").build(), mayHaveEffect);
    }

    private void prefill(Ending ending, AttemptReach reach) {
        ledger.attemptEnded(attempt(false), Outcome.of(ending), reach, 10);
    }

    private long violationsAt(double now) {
        ledger.removeOverdueHolds(now);
        return counters.count(Counter.INVARIANT_CACHE_HELD);
    }

    @ParameterizedTest
    @CsvSource({
        "PREFILLED, CONFIRMED, 1",
        "RESET, WRITTEN, 1",
        "TIMEOUT, WRITTEN, 1",
        "CANCELLED, WRITTEN, 1",
        "CONNECT_FAILED, UNWRITTEN, 0",
        "CANCELLED, UNWRITTEN, 0",
        "FULL, CONFIRMED, 0"
    })
    void countsAKvCacheLeftByAPrefillOnce(Ending ending, AttemptReach reach, long violations) {
        prefill(ending, reach);
        assertEquals(0, violationsAt(10.79));
        assertEquals(violations, violationsAt(10.81));
        assertEquals(violations, violationsAt(11));
    }

    @Test
    void holdTimeContinuesAfterUnconfirmedAttemptsAndRestartsAfterAConfirmedOne() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        assertEquals(10.425, ledger.arrivalDeadlines("id").written(), 1e-9);
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.CONNECT_FAILED), AttemptReach.UNWRITTEN, 10.2);
        ledger.attemptWritten("id");
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.RESET), AttemptReach.WRITTEN, 10.3);
        assertEquals(10.425, ledger.arrivalDeadlines("id").written(), 1e-9);
        ledger.attemptWritten("id");
        ledger.attemptConfirmed("id");
        assertEquals(0, violationsAt(19));
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.RESET), AttemptReach.CONFIRMED, 20);
        assertEquals(20.425, ledger.arrivalDeadlines("id").written(), 1e-9);
        assertEquals(1, violationsAt(20.81));
    }

    /**
     * Incident 2026-12-02, silent engines: an attempt that was written but not confirmed stopped the time of the hold,
     * so that no violation was reported.
     */
    @Test
    void countsAKvCacheHeldForAWrittenButUnconfirmedAttempt() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.attemptWritten("id");
        assertEquals(0, violationsAt(10.79));
        assertEquals(1, violationsAt(10.81));
    }

    @Test
    void attemptHasAMinimumTimeToArriveEvenIfItWasWrittenLate() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ArrivalDeadlines deadlines = ledger.arrivalDeadlines("id");
        assertEquals(10.25, deadlines.confirmedWhenWrittenAt(10.01), 1e-9);
        assertEquals(10.35, deadlines.confirmedWhenWrittenAt(10.2), 1e-9);
        assertEquals(10.425, deadlines.confirmedWhenWrittenAt(10.4), 1e-9);
    }

    /**
     * The attempt may have arrived before the release, and a release does not free a KV cache that an attempt waits
     * for.
     */
    @Test
    void releaseDuringAnAttemptIsValidOnlyUntilThatAttemptEnds() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.attemptWritten("id");
        ledger.releaseBegun("id");
        ledger.releaseAccepted("id");
        assertEquals(0, violationsAt(19));
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.TIMEOUT), AttemptReach.WRITTEN, 20);
        assertEquals(0, violationsAt(20.79));
        assertEquals(1, violationsAt(20.81));
    }

    @Test
    void holdEndsWhenTheKvCacheWasFetchedReleasedOrFoundMissing() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.firstToken("id");
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.attemptEnded(attempt(true), Outcome.kvCacheMissing(java.util.Map.of()), AttemptReach.CONFIRMED, 10.1);
        assertEquals(ArrivalDeadlines.NONE, ledger.arrivalDeadlines("id"));
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.releaseBegun("id");
        assertEquals(ArrivalDeadlines.NONE, ledger.arrivalDeadlines("id"));
        ledger.releaseAccepted("id");
        assertEquals(0, violationsAt(20));
    }

    /** A repeated release could free the KV cache that the later attempt leaves. */
    @Test
    void releaseIsNotRepeatedAfterALaterAttemptWasWritten() {
        prefill(Ending.TIMEOUT, AttemptReach.WRITTEN);
        ledger.attemptWritten("id");
        assertFalse(ledger.releaseBegun("id").isPresent());
    }

    @Test
    void releaseContinuesAfterAnAttemptThatWasNotWritten() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.releaseBegun("id");
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.CONNECT_FAILED), AttemptReach.UNWRITTEN, 10.3);
        ledger.releaseAccepted("id");
        assertEquals(0, violationsAt(20));
    }

    /** The answer of a second prefill is lost as well: the KV cache of the first one has been held since its end. */
    @Test
    void holdTimeOfALostPrefillContinuesDuringTheNextOne() {
        prefill(Ending.RESET, AttemptReach.WRITTEN);
        assertFalse(ledger.isReleaseDue("id", 10.24));
        ledger.attemptEnded(attempt(false), Outcome.of(Ending.RESET), AttemptReach.WRITTEN, 10.2);
        assertTrue(ledger.isReleaseDue("id", 10.26));
        ledger.releaseBegun("id");
        assertFalse(ledger.isReleaseDue("id", 10.27));
        ledger.attemptEnded(attempt(false), Outcome.of(Ending.PREFILLED), AttemptReach.CONFIRMED, 10.3);
        assertTrue(ledger.isReleaseDue("id", 10.56));
    }

    /** The release may arrive before the engine notices, by the closed connection, that its attempt was given up. */
    @ParameterizedTest
    @CsvSource({"TIMEOUT, true", "CANCELLED, true", "RESET, false", "FULL, false"})
    void releaseIsRepeatedAfterAnAttemptThatWasGivenUp(Ending ending, boolean repeated) {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.attemptWritten("id");
        ledger.attemptEnded(attempt(true), Outcome.of(ending), AttemptReach.WRITTEN, 10.1);
        assertEquals(repeated, ledger.releaseBegun("id").isPresent());
    }

    /** The release may have reached the engine before the prefill that was started after it. */
    @Test
    void releaseOfAnEarlierPrefillDoesNotEndTheHoldOfALaterOne() {
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.releaseBegun("id");
        prefill(Ending.PREFILLED, AttemptReach.CONFIRMED);
        ledger.releaseAccepted("id");
        assertEquals(1, violationsAt(10.81));
    }
}

package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Outcome.Ending;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A KV cache that waits too long is counted, and an attempt that waits for a connection does not stop its time. */
class CacheHoldLedgerTest {

    private final Counters counters = new Counters();
    private final CacheHoldLedger ledger = new CacheHoldLedger(0.5, counters);
    private final Request request = RequestBuilder.request("id").build();

    private Attempt attempt(boolean mayHaveEffect) {
        return new Attempt(request, 0, EngineBuilder.engine("e").build(), 100, 100, mayHaveEffect);
    }

    private void prefill(Ending ending, boolean sent) {
        ledger.attemptEnded(attempt(false), Outcome.of(ending), sent, 10);
    }

    private long violationsAt(double now) {
        ledger.check(now);
        return counters.count(Counter.INVARIANT_CACHE_HELD);
    }

    @ParameterizedTest
    @CsvSource({
        "PREFILLED, true, 1",
        "RESET, true, 1",
        "TIMEOUT, true, 1",
        "CANCELLED, true, 1",
        "CONNECT_FAILED, false, 0",
        "CANCELLED, false, 0",
        "FULL, true, 0"
    })
    void countsOnceWhatAPrefillLeft(Ending ending, boolean sent, long violations) {
        prefill(ending, sent);
        assertEquals(0, violationsAt(10.79));
        assertEquals(violations, violationsAt(10.81));
        assertEquals(violations, violationsAt(11));
    }

    @Test
    void timeRunsOnWhileNoAttemptGetsOutAndBeginsAnewBehindOneThatDid() {
        prefill(Ending.PREFILLED, true);
        assertEquals(10.425, ledger.sendDeadline("id"), 1e-9);
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.CONNECT_FAILED), false, 10.3);
        assertEquals(10.425, ledger.sendDeadline("id"), 1e-9);
        ledger.attemptSent("id");
        assertEquals(0, violationsAt(19));
        ledger.attemptEnded(attempt(true), Outcome.of(Ending.RESET), true, 20);
        assertEquals(20.425, ledger.sendDeadline("id"), 1e-9);
        assertEquals(1, violationsAt(20.81));
    }

    @Test
    void nothingIsHeldOnceItWasFetchedReleasedOrFoundMissing() {
        prefill(Ending.PREFILLED, true);
        ledger.firstToken("id");
        prefill(Ending.PREFILLED, true);
        ledger.attemptEnded(attempt(true), Outcome.kvCacheMissing(java.util.Map.of()), true, 10.1);
        assertEquals(Double.POSITIVE_INFINITY, ledger.sendDeadline("id"));
        prefill(Ending.PREFILLED, true);
        ledger.releaseBegun("id");
        assertEquals(Double.POSITIVE_INFINITY, ledger.sendDeadline("id"));
        ledger.releaseTaken("id");
        assertEquals(0, violationsAt(20));
    }

    /** The release may have come to the engine before the prefill that was begun behind it. */
    @Test
    void releaseOfAnEarlierPrefillDoesNotEndALaterOne() {
        prefill(Ending.PREFILLED, true);
        ledger.releaseBegun("id");
        prefill(Ending.PREFILLED, true);
        ledger.releaseTaken("id");
        assertEquals(1, violationsAt(10.81));
    }
}

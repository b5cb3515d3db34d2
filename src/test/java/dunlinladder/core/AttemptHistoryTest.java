package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Whether a request may have run according to its attempts, and the text of the attempts in the log. */
class AttemptHistoryTest {

    private final AttemptHistory history = new AttemptHistory();

    private static Attempt attempt(int number, String engine, boolean mayHaveEffect) {
        return TestAttempts.attempt(number, EngineBuilder.engine(engine).build(), mayHaveEffect);
    }

    @Test
    void anAttemptInFlightMayHaveRunAndHasNoOutcome() {
        assertEquals(Optional.empty(), history.lastOutcome());
        history.recordSent(attempt(0, "m1", true), 5);
        assertTrue(history.mayHaveRun());
        assertEquals(Optional.empty(), history.lastOutcome());
        Outcome full = Outcome.of(Outcome.Ending.FULL);
        history.recordEnd(full, AttemptReach.CONFIRMED, 5.5);
        assertFalse(history.mayHaveRun());
        assertEquals(Optional.of(full), history.lastOutcome());
    }

    @Test
    void logsTimesSinceTheFirstSend() {
        assertEquals("[]", history.logText());
        history.recordSent(attempt(0, "r1", false), 5);
        history.recordEnd(Outcome.of(Outcome.Ending.PREFILLED), AttemptReach.CONFIRMED, 5.25);
        history.recordSent(attempt(1, "w1", true), 5.5);
        assertEquals("[0 at r1 prefill_only 0.000-0.250 PREFILLED; 1 at w1 0.500-0.500 in flight]", history.logText());
    }
}

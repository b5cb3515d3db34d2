package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.RerunRule.Location;
import dunlinladder.core.RerunRule.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Where and until when a request may run again, by the scope and the window of its class. */
class RerunRuleTest {

    private static final double WINDOW_SECONDS = 2;

    @ParameterizedTest
    @CsvSource({
        "NONE, false, false, false, false",
        "CELL, true, false, false, false",
        "ZONE, true, true, false, false",
        "ALL, true, true, true, true"
    })
    void coversTheEnginesOfItsScope(
            Scope scope, boolean sameCell, boolean sameZone, boolean otherZone, boolean clientRetry) {
        RerunRule rule = new RerunRule(scope, WINDOW_SECONDS);
        Location first = new Location(1, 11);
        assertEquals(sameCell, rule.covers(first, new Location(1, 11)));
        assertEquals(sameZone, rule.covers(first, new Location(1, 12)));
        assertEquals(otherZone, rule.covers(first, new Location(2, 21)));
        assertEquals(clientRetry, rule.allowsClientRetry());
    }

    /** The window begins with the first attempt that may have run; neither a prefill nor a rejected attempt counts. */
    @Test
    void theWindowBeginsWithTheFirstAttemptThatMayHaveRun() {
        Engine engine = EngineBuilder.engine("m1").build();
        RerunRule rule = new RerunRule(Scope.CELL, WINDOW_SECONDS);
        AttemptHistory history = new AttemptHistory();
        history.recordSent(TestAttempts.attempt(0, engine, false), 1);
        history.recordEnd(Outcome.of(Outcome.Ending.TIMEOUT), AttemptReach.WRITTEN, 2);
        history.recordSent(TestAttempts.attempt(1, engine, true), 3);
        history.recordEnd(Outcome.of(Outcome.Ending.FULL), AttemptReach.CONFIRMED, 4);
        assertEquals(Double.POSITIVE_INFINITY, rule.latestRerun(history));
        history.recordSent(TestAttempts.attempt(2, engine, true), 5);
        history.recordEnd(Outcome.of(Outcome.Ending.RESET), AttemptReach.WRITTEN, 6);
        history.recordSent(TestAttempts.attempt(3, engine, true), 6.5);
        history.recordEnd(Outcome.of(Outcome.Ending.TIMEOUT), AttemptReach.WRITTEN, 6.9);
        assertEquals(7, rule.latestRerun(history));
        assertTrue(rule.allowsRerun(history, engine, 7));
        assertFalse(rule.allowsRerun(history, engine, 7.001));
        assertEquals(
                false,
                rule.allowsRerun(history, EngineBuilder.engine("m2").cell(1).build(), 6.95));
        assertTrue(RerunRule.UNRESTRICTED.allowsRerun(history, engine, 1e9));
        assertFalse(RerunRule.FORBIDDEN.allowsRerun(history, engine, 6.95));
    }
}

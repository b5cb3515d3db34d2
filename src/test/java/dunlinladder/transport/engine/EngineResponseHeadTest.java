package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The table "what comes back" of the protocol page. */
class EngineResponseHeadTest {

    private static final Map<String, Double> REPORT = Map.of("queue", 3.0);

    /** Finds 422 the fault of the request. */
    private static final EngineRequestFactory REQUESTS = new EngineRequestFactory() {
        @Override
        public EngineRequest requestFor(Engine engine) {
            return new EngineRequest("POST", "/", null, new byte[0]);
        }

        @Override
        public boolean isRejection(int status, String body) {
            return status == 422;
        }
    };

    @ParameterizedTest
    @CsvSource({
        "202, false, PREFILLED, 7",
        "410, true, FULL, 1",
        "410, false, FULL, 1",
        "503, true, FULL, 0",
        "503, false, ERROR, 0",
        "504, true, FULL, 0",
        "504, false, ERROR, 0",
        "500, true, ERROR, 0",
        "500, false, ERROR, 0",
        "422, false, REJECTED, 0"
    })
    void statusDecidesTheOutcomeAndNotProcessedCountsWith503And504Only(
            int status, boolean notProcessed, Ending ending, double note) {
        EngineResponseHead head = new EngineResponseHead(status, notProcessed, REPORT);
        assertEquals(new Outcome(ending, note, REPORT), head.outcome("{\"cached_tokens\":7}", REQUESTS));
    }

    @Test
    void streamIsServedOnlyWithAnEventAndItsHeadsReportComesFirst() {
        Map<String, Double> later = Map.of("queue", 4.0);
        EngineResponseHead reporting = new EngineResponseHead(200, false, REPORT);
        EngineResponseHead silent = new EngineResponseHead(200, false, Map.of());
        assertEquals(new Outcome(Ending.OK, 7, REPORT), reporting.streamOutcome(true, 7, later));
        assertEquals(new Outcome(Ending.OK, 7, later), silent.streamOutcome(true, 7, later));
        assertEquals(Outcome.of(Ending.RESET), reporting.streamOutcome(false, 0, later));
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The outcomes in the table "what comes back" of the platform protocol specification. */
class EngineResponseHeadTest {

    private static final Map<String, Double> REPORT = Map.of("queue", 3.0);

    /** Treats 422 as the fault of the request. */
    private static final EngineRequestFactory REQUESTS = new EngineRequestFactory() {
        @Override
        public EngineRequest requestFor(Engine engine) {
            return new EngineRequest("POST", "/", null, new byte[0], StreamTerminator.DONE_MARKER);
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
    void statusDeterminesTheOutcomeAndNotProcessedMattersOnlyWith503And504(
            int status, boolean notProcessed, Ending ending, double note) {
        EngineResponseHead head = new EngineResponseHead(status, notProcessed, REPORT);
        assertEquals(new Outcome(ending, note, REPORT), head.outcome("{\"cached_tokens\":7}", REQUESTS));
    }

    @Test
    void streamIsOkOnlyWithAnEventAndTheReportOfTheHeadHasPriority() {
        Map<String, Double> streamReport = Map.of("queue", 4.0);
        EngineResponseHead headWithReport = new EngineResponseHead(200, false, REPORT);
        EngineResponseHead headWithoutReport = new EngineResponseHead(200, false, Map.of());
        assertEquals(new Outcome(Ending.OK, 7, REPORT), headWithReport.streamOutcome(true, 7, streamReport));
        assertEquals(new Outcome(Ending.OK, 7, streamReport), headWithoutReport.streamOutcome(true, 7, streamReport));
        assertEquals(Outcome.of(Ending.RESET), headWithReport.streamOutcome(false, 0, streamReport));
    }
}

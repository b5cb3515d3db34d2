package dunlinladder.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which engine may have which request, and how a move goes. */
class GenerationTest {

    private static final Generation OLD = new Generation("old", ApiFormat.COMPLETIONS, Set.of(), Set.of(), null);
    private static final Generation NEW =
            new Generation("new", ApiFormat.RESPONSES, Set.of(), Set.of(), Pattern.compile("fresh-.*"));
    private static final List<Generation> BOTH = List.of(NEW, OLD);

    private static MigrationPlan move(double failed, boolean back) {
        return new MigrationPlan(
                "old",
                "new",
                List.of(
                        new MigrationPlan.Stage(0.1, 0.5, 60),
                        new MigrationPlan.Stage(0.5, 1, 60),
                        new MigrationPlan.Stage(1, 1, 60)),
                new MigrationPlan.Stop(failed, 0.05, 2, 20, back),
                10);
    }

    private static Engine engine(String id, double startedAt) {
        return new Engine(id, "127.0.0.1:1", 0, 0, 0, Engine.State.ACTIVE, 1, startedAt);
    }

    private final List<Engine> listed = new ArrayList<>(List.of(engine("fresh-1", 0), engine("box-1", 0)));

    private EngineEligibility routing(MigrationPlan move, long seed) {
        return new EngineEligibility(
                BOTH,
                move,
                () -> listed,
                e -> e.kind() == 0 ? EngineEligibility.READS | EngineEligibility.WRITES : e.kind(),
                seed,
                0);
    }

    private static void good(MigrationProgress progress, int count, double now) {
        for (int i = 0; i < count; i++) {
            progress.answered(true, false, 0.1, now);
            progress.answered(false, false, 0.1, now);
        }
    }

    @Test
    void aMoveThatGoesWellOpensItsStagesAndEnds() {
        MigrationProgress progress = new MigrationProgress(move(0.02, true), 1, 0);
        double now = 0;
        for (int stage = 0; stage < 3; stage++) {
            assertEquals(stage, progress.number());
            good(progress, 30, now += 59);
            assertEquals(stage, progress.number(), "before its time");
            progress.tick(now += 20);
        }
        assertEquals(MigrationProgress.State.DONE, progress.state());
        assertEquals(1, progress.stage().engines());
    }

    @Test
    void aStageWithoutAnswersDoesNotOpenTheNext() {
        MigrationProgress progress = new MigrationProgress(move(0.02, true), 1, 0);
        progress.tick(10_000);
        assertEquals(0, progress.number());
        good(progress, 20, 10_001);
        assertEquals(1, progress.number());
    }

    @ParameterizedTest
    @CsvSource({"true, MOVING, 0", "false, STOPPED, 1"})
    void failuresGoBackOrStop(boolean back, MigrationProgress.State state, int stage) {
        MigrationProgress progress = new MigrationProgress(move(0.02, back), 1, 0);
        good(progress, 30, 59);
        progress.tick(80);
        assertEquals(1, progress.number());
        for (int i = 0; i < 20; i++) {
            progress.answered(true, i % 2 == 0, Double.NaN, 81);
        }
        assertEquals(state, progress.state());
        assertEquals(stage, progress.number());
        assertTrue(progress.reason().startsWith("failed "), progress.reason());
    }

    /** What fails in both generations alike is no fault of the new one. */
    @Test
    void failuresOfAllEnginesAlikeDoNotStopAMove() {
        MigrationProgress progress = new MigrationProgress(move(0.02, true), 1, 0);
        for (int i = 0; i < 100; i++) {
            progress.answered(false, i % 3 == 0, 0.1, 10);
            progress.answered(true, i % 3 == 0, 0.1, 10);
        }
        assertEquals("", progress.reason());
    }

    @Test
    void slowAnswersAndUntranslatableRequestsGoBack() {
        MigrationProgress slow = new MigrationProgress(move(0.02, true), 1, 0);
        for (int i = 0; i < 20; i++) {
            slow.answered(false, false, 0.1, 1);
            slow.answered(true, false, 0.5, 1);
        }
        assertTrue(slow.reason().startsWith("first token"), slow.reason());
        MigrationProgress lacking = new MigrationProgress(move(0.02, true), 1, 0);
        good(lacking, 18, 1);
        lacking.untranslatable(1);
        lacking.untranslatable(1);
        assertTrue(lacking.reason().startsWith("untranslatable"), lacking.reason());
    }

    /** Going back costs ever longer waits, and after a few times the move stays where it is. */
    @Test
    void aMoveDoesNotFlap() {
        MigrationProgress progress = new MigrationProgress(move(0.02, true), 1, 0);
        List<Integer> stages = new ArrayList<>();
        for (double now = 1; now < 20_000 && progress.state() == MigrationProgress.State.MOVING; now++) {
            // All goes well in the first stage, and nothing beyond.
            progress.answered(true, progress.number() > 0, 0.1, now);
            progress.answered(false, false, 0.1, now);
            if (stages.isEmpty() || stages.get(stages.size() - 1) != progress.number()) {
                stages.add(progress.number());
            }
        }
        assertEquals(List.of(0, 1, 0, 1, 0, 1, 0, 1), stages);
        assertEquals(MigrationProgress.State.STOPPED, progress.state());
    }

    @Test
    void gatewaysOpenAStageOneAfterTheOther() {
        List<Double> opened = new ArrayList<>();
        for (int gateway = 0; gateway < 64; gateway++) {
            MigrationProgress progress = new MigrationProgress(move(0.02, true), new Random(gateway).nextLong(), 0);
            good(progress, 30, 1);
            for (double now = 59; progress.number() == 0; now += 0.05) {
                progress.tick(now);
            }
            opened.add(progress.openedAt());
        }
        long atOnce = opened.stream().filter(at -> at < 61.5).count();
        assertTrue(opened.stream().allMatch(at -> at >= 60) && atOnce < 16, opened.toString());
    }

    @Test
    void anEngineThatDoesNotSpeakItsFormatIsTriedRarelyAndOnlyWithWhatMayRepeat() {
        FormatEvidence evidence = new FormatEvidence(5, 300, 1);
        assertTrue(evidence.may("e", 0, false, 0));
        evidence.knowsNot("e", 0, 0);
        assertFalse(evidence.may("e", 0, true, 3.7));
        assertFalse(evidence.may("e", 0, false, 1000), "a listing is no trial");
        assertTrue(evidence.may("e", 0, true, 6.3));
        assertTrue(evidence.sent("e", 0));
        assertFalse(evidence.may("e", 0, true, 6.4), "one trial at a time");
        evidence.knowsNot("e", 0, 7);
        assertFalse(evidence.may("e", 0, true, 7 + 7.4), "the wait doubles");
        assertTrue(evidence.may("e", 0, true, 7 + 12.6));
        assertEquals(1, evidence.barred());
        assertTrue(evidence.may("e", 8, false, 8), "a new process is judged anew");
        evidence.knowsNot("e", 8, 8);
        evidence.sent("e", 8);
        evidence.silent("e");
        assertTrue(evidence.may("e", 8, true, 1000), "a trial that showed nothing leaves room for another");
        evidence.understood("e");
        assertTrue(evidence.may("e", 8, false, 9));
        assertEquals(0, evidence.barred());
    }

    @Test
    void anEngineGetsOnlyWhatItsFormatExpresses() {
        EngineEligibility routing = routing(null, 1);
        EngineEligibility.Ask ask = new EngineEligibility.Ask("a", 0, true);
        assertTrue(routing.may(engine("fresh-1", 0), ask, 0) && routing.may(engine("box-1", 0), ask, 0));
        ask.lacks(ApiFormat.RESPONSES, "suffix");
        assertFalse(routing.may(engine("fresh-1", 0), ask, 0));
        assertTrue(routing.may(engine("box-1", 0), ask, 0));
        assertEquals(Optional.empty(), routing.hopeless(ask, 0));
        listed.remove(1);
        assertEquals(Optional.of("suffix"), routing.hopeless(ask, 1));
        listed.clear();
        assertEquals(Optional.empty(), routing.hopeless(ask, 2), "an empty list is no fault of a field");
    }

    /** Nothing is read in a generation that has no engine to write the answer. */
    @Test
    void aGenerationNeedsBothStages() {
        Engine reader = new Engine("fresh-2", "127.0.0.1:1", 0, 1, 0, Engine.State.ACTIVE, 1, 0);
        listed.set(0, reader);
        EngineEligibility routing = routing(null, 1);
        assertFalse(routing.may(reader, new EngineEligibility.Ask("a", 0, true), 0));
        listed.add(new Engine("fresh-3", "127.0.0.1:1", 0, 2, 0, Engine.State.LEAVING, 1, 0));
        assertFalse(routing.may(reader, new EngineEligibility.Ask("a", 0, true), 1));
        listed.set(2, new Engine("fresh-3", "127.0.0.1:1", 0, 2, 0, Engine.State.ACTIVE, 1, 0));
        assertTrue(routing.may(reader, new EngineEligibility.Ask("a", 0, true), 2));
    }

    /** A state that an engine of one generation holds can be taken by one of the same only. */
    @Test
    void aReadIsAnsweredInItsOwnGeneration() {
        EngineEligibility routing = routing(null, 1);
        EngineEligibility.Ask ask = new EngineEligibility.Ask("a", 0, true);
        ask.readBy("new");
        Engine reader = new Engine("box-2", "127.0.0.1:1", 0, 1, 0, Engine.State.ACTIVE, 1, 0);
        listed.add(reader);
        assertTrue(routing.may(reader, ask, 0), "reading again begins anew");
        assertTrue(routing.may(engine("fresh-1", 0), ask, 0));
        assertFalse(routing.may(engine("box-1", 0), ask, 0));
        ask.readBy(null);
        assertTrue(routing.may(engine("box-1", 0), ask, 0));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.5, 1})
    void aStagesShareOfEnginesMovesTheSameAtEveryGateway(double share) {
        MigrationPlan move = new MigrationPlan(
                "old",
                "new",
                List.of(new MigrationPlan.Stage(share, 1, 60)),
                new MigrationPlan.Stop(0.02, 0.05, 2, 20, true),
                10);
        EngineEligibility one = routing(move, 1);
        EngineEligibility other = routing(move, 99);
        listed.clear();
        for (int i = 0; i < 1000; i++) {
            listed.add(engine("box-" + i, 0));
        }
        one.may(listed.get(0), new EngineEligibility.Ask("a", 0, true), 0);
        other.may(listed.get(0), new EngineEligibility.Ask("a", 0, true), 0);
        int moved = 0;
        for (Engine box : listed) {
            assertEquals(
                    one.of(box).orElseThrow().name(),
                    other.of(box).orElseThrow().name());
            moved += one.of(box).orElseThrow() == NEW ? 1 : 0;
        }
        assertEquals(share, moved / 1000.0, 0.0011);
    }

    /** An engine that has just moved is offered to ever more requests, not to all at once. */
    @Test
    void aMovedEngineGetsItsShareStepByStep() {
        MigrationPlan move = new MigrationPlan(
                "old",
                "new",
                List.of(new MigrationPlan.Stage(1, 1, 60)),
                new MigrationPlan.Stop(0.02, 0.05, 2, 20, true),
                10);
        EngineEligibility routing = routing(move, 1);
        double[] shares = new double[3];
        for (int i = 0; i < 3000; i++) {
            EngineEligibility.Ask ask = new EngineEligibility.Ask("r" + i, 0, true);
            for (int at = 0; at < 3; at++) {
                shares[at] += routing.may(engine("box-1", 0), ask, at * 5.0) ? 1 / 3000.0 : 0;
            }
        }
        assertEquals(0, shares[0], 0.01);
        assertEquals(0.5, shares[1], 0.05);
        assertEquals(1, shares[2], 1e-9);
    }

    @Test
    void shopsOutsideAStageStayWithTheOldEngines() {
        MigrationPlan move = new MigrationPlan(
                "old",
                "new",
                List.of(new MigrationPlan.Stage(1, 0.5, 60)),
                new MigrationPlan.Stop(0.02, 0.05, 2, 20, true),
                10);
        EngineEligibility routing = routing(move, 1);
        int may = 0;
        for (int shop = 0; shop < 1000; shop++) {
            may += routing.may(engine("box-1", 0), new EngineEligibility.Ask("r", shop, true), 100) ? 1 : 0;
        }
        assertEquals(0.5, may / 1000.0, 0.06);
    }
}

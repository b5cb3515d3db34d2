package dunlinladder.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the stages of a migration open, and what ends it. */
class MigrationProgressTest {

    private static MigrationProgress started() {
        return new MigrationProgress(MigrationPlanBuilder.threeStages().build(), 1, 0);
    }

    /** Both generations answer well. */
    private static void recordGoodAnswers(MigrationProgress progress, int count, double now) {
        for (int i = 0; i < count; i++) {
            progress.recordAnswer(true, false, 0.1, now);
            progress.recordAnswer(false, false, 0.1, now);
        }
    }

    @Test
    void opensAllStagesAndEndsWhenAllGoesWell() {
        MigrationProgress progress = started();
        double now = 0;
        for (int stage = 0; stage < 3; stage++) {
            assertEquals(stage, progress.stageNumber());
            now += 59;
            recordGoodAnswers(progress, 30, now);
            assertEquals(stage, progress.stageNumber(), "before its time");
            now += 20;
            progress.advance(now);
        }
        assertEquals(MigrationProgress.State.DONE, progress.state());
        assertEquals(1, progress.stage().engineFraction());
    }

    @Test
    void opensNoFurtherStageWithoutAnswers() {
        MigrationProgress progress = started();
        progress.advance(10_000);
        assertEquals(0, progress.stageNumber());
        recordGoodAnswers(progress, MigrationPlanBuilder.MIN_ANSWERS, 10_001);
        assertEquals(1, progress.stageNumber());
    }

    @ParameterizedTest
    @CsvSource({"true, MOVING, 0", "false, STOPPED, 1"})
    void stepsBackOrStopsWhenTheNewGenerationFails(boolean stepsBack, MigrationProgress.State state, int stage) {
        MigrationPlan plan =
                MigrationPlanBuilder.threeStages().stepsBack(stepsBack).build();
        MigrationProgress progress = new MigrationProgress(plan, 1, 0);
        recordGoodAnswers(progress, 30, 59);
        progress.advance(80);
        assertEquals(1, progress.stageNumber());
        for (int i = 0; i < 20; i++) {
            progress.recordAnswer(true, i % 2 == 0, Double.NaN, 81);
        }
        assertEquals(state, progress.state());
        assertEquals(stage, progress.stageNumber());
        assertTrue(progress.reason().startsWith("failed "), progress.reason());
    }

    /** What fails in both generations alike is no fault of the new one. */
    @Test
    void goesOnWhenBothGenerationsFailAlike() {
        MigrationProgress progress = started();
        for (int i = 0; i < 100; i++) {
            progress.recordAnswer(false, i % 3 == 0, 0.1, 10);
            progress.recordAnswer(true, i % 3 == 0, 0.1, 10);
        }
        assertEquals("", progress.reason());
    }

    @Test
    void stepsBackOnSlowAnswersAndOnUntranslatableRequests() {
        MigrationProgress slow = started();
        for (int i = 0; i < 20; i++) {
            slow.recordAnswer(false, false, 0.1, 1);
            slow.recordAnswer(true, false, 0.5, 1);
        }
        assertTrue(slow.reason().startsWith("first token"), slow.reason());
        MigrationProgress untranslatable = started();
        recordGoodAnswers(untranslatable, 18, 1);
        untranslatable.recordUntranslatable(1);
        untranslatable.recordUntranslatable(1);
        assertTrue(untranslatable.reason().startsWith("untranslatable"), untranslatable.reason());
    }

    /** Stepping back costs ever longer waits, and after a few times the migration stays where it is. */
    @Test
    void stopsInsteadOfFlapping() {
        MigrationProgress progress = started();
        List<Integer> stages = new ArrayList<>();
        for (double now = 1; now < 20_000 && progress.state() == MigrationProgress.State.MOVING; now++) {
            // All goes well in the first stage, and nothing beyond.
            progress.recordAnswer(true, progress.stageNumber() > 0, 0.1, now);
            progress.recordAnswer(false, false, 0.1, now);
            if (stages.isEmpty() || stages.get(stages.size() - 1) != progress.stageNumber()) {
                stages.add(progress.stageNumber());
            }
        }
        assertEquals(List.of(0, 1, 0, 1, 0, 1, 0, 1), stages);
        assertEquals(MigrationProgress.State.STOPPED, progress.state());
    }

    @Test
    void gatewaysOpenAStageOneAfterTheOther() {
        List<Double> openedAt = new ArrayList<>();
        for (int gateway = 0; gateway < 64; gateway++) {
            MigrationProgress progress = new MigrationProgress(
                    MigrationPlanBuilder.threeStages().build(), new Random(gateway).nextLong(), 0);
            recordGoodAnswers(progress, 30, 1);
            for (double now = 59; progress.stageNumber() == 0; now += 0.05) {
                progress.advance(now);
            }
            openedAt.add(progress.openedAt());
        }
        long atOnce = openedAt.stream().filter(at -> at < 61.5).count();
        assertTrue(openedAt.stream().allMatch(at -> at >= 60) && atOnce < 16, openedAt.toString());
    }
}

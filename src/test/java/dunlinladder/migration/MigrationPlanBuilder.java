package dunlinladder.migration;

import java.util.ArrayList;
import java.util.List;

/** Plans for tests that go from generation "old" to "new"; a test sets by name only what it is about. */
final class MigrationPlanBuilder {

    /** Answers of each generation before anything counts, in every plan. */
    static final int MIN_ANSWERS = 20;

    private final List<MigrationPlan.Stage> stages = new ArrayList<>();
    private boolean stepsBack = true;

    private MigrationPlanBuilder() {}

    /** Starts from a plan without stages that steps back after a fault. */
    static MigrationPlanBuilder plan() {
        return new MigrationPlanBuilder();
    }

    /** A plan of three stages of a minute each: a tenth of the engines, half of them, all. */
    static MigrationPlanBuilder threeStages() {
        return plan().stage(0.1, 0.5).stage(0.5, 1).stage(1, 1);
    }

    /** Adds a stage of a minute. */
    MigrationPlanBuilder stage(double engineFraction, double tenantFraction) {
        stages.add(new MigrationPlan.Stage(engineFraction, tenantFraction, 60));
        return this;
    }

    /** Sets whether a fault leads a stage back, or ends the migration. */
    MigrationPlanBuilder stepsBack(boolean back) {
        stepsBack = back;
        return this;
    }

    /** The plan. */
    MigrationPlan build() {
        MigrationPlan.Stop stop = new MigrationPlan.Stop(0.02, 0.05, 2, MIN_ANSWERS, stepsBack);
        return new MigrationPlan("old", "new", stages, stop, 10);
    }
}

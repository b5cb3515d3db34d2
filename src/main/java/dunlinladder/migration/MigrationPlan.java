package dunlinladder.migration;

import java.util.List;

/**
 * The plan for the migration of a fleet from one generation to another; {@code move} in the operator's file.
 *
 * @param from name of the source generation, which the engines leave
 * @param to name of the target generation, to which the engines migrate
 * @param stages the stages in order, at least one
 * @param stopLimits the limits that make a migration step back or stop
 * @param rampSeconds seconds from the opening of a stage until the engines that have migrated get their full share of
 *     requests
 */
public record MigrationPlan(String from, String to, List<Stage> stages, StopLimits stopLimits, double rampSeconds) {

    /**
     * One stage.
     *
     * @param engineFraction fraction of the source generation's engines that have migrated, 0 to 1; {@code engines} in
     *     the file
     * @param tenantFraction fraction of the tenants whose requests may go to the target generation, 0 to 1;
     *     {@code shops} in the file
     * @param holdSeconds time in seconds that the stage must run within the limits before the next one opens, above 0
     */
    public record Stage(double engineFraction, double tenantFraction, double holdSeconds) {}

    /**
     * The limits that make a migration step back or stop.
     *
     * @param maxFailureExcess highest amount by which the target generation's fraction of failed answers may exceed the
     *     source generation's; {@code failed} in the file
     * @param maxUntranslatable highest ratio of the requests that the target generation's format cannot express to the
     *     sum of these requests and the target generation's answers; {@code untranslatable} in the file
     * @param maxDelayRatio highest ratio of the target generation's median time to first token to the source
     *     generation's; {@code delay} in the file
     * @param minAnswers number of answers of the target generation before a limit applies, and before the next stage
     *     may open; {@code least} in the file. Times to first token are compared only when as many are known of each
     *     generation. For {@code maxUntranslatable}, untranslatable requests count as answers.
     * @param stepsBack whether the migration goes back a stage and tries again, instead of stopping where it is;
     *     {@code then} in the file
     */
    public record StopLimits(
            double maxFailureExcess,
            double maxUntranslatable,
            double maxDelayRatio,
            int minAnswers,
            boolean stepsBack) {}

    /**
     * Checks that there is a stage, and that each stage includes the one before it.
     *
     * @throws IllegalArgumentException if there is no stage, if a fraction is below that of the previous stage or above
     *     1, or if {@code holdSeconds} is not above 0
     */
    public MigrationPlan {
        stages = List.copyOf(stages);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a migration needs at least one stage");
        }
        Stage previous = new Stage(0, 0, 0);
        for (Stage stage : stages) {
            checkStage(previous, stage);
            previous = stage;
        }
    }

    /** Checks a stage against the previous one. The comparisons are written so that they fail for NaN too. */
    private static void checkStage(Stage previous, Stage stage) {
        boolean enginesValid = stage.engineFraction >= previous.engineFraction && stage.engineFraction <= 1;
        boolean tenantsValid = stage.tenantFraction >= previous.tenantFraction && stage.tenantFraction <= 1;
        if (!enginesValid || !tenantsValid) {
            throw new IllegalArgumentException(
                    "engines and shops of each stage must be at least those of the stage before it and at most 1");
        }
        if (!(stage.holdSeconds > 0)) {
            throw new IllegalArgumentException("hold_seconds must be over 0");
        }
    }
}

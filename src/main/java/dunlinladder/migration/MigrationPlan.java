package dunlinladder.migration;

import java.util.List;

/**
 * How a fleet goes from one generation to another; {@code move} in the operators' file.
 *
 * @param from the name of the generation that is left
 * @param to the name of the one that the engines go to
 * @param stages in their order, at least one
 * @param stop what ends the migration before its last stage is over
 * @param rampSeconds in which an engine that has just moved comes to its full share of requests
 */
public record MigrationPlan(String from, String to, List<Stage> stages, Stop stop, double rampSeconds) {

    /**
     * One stage.
     *
     * @param engineFraction of the old generation's engines that have moved, 0 to 1; {@code engines} in the file
     * @param tenantFraction of the tenants whose requests may go to them, 0 to 1; {@code shops} in the file
     * @param holdSeconds for which it must go well before the next one opens, above 0
     */
    public record Stage(double engineFraction, double tenantFraction, double holdSeconds) {}

    /**
     * What ends a migration.
     *
     * @param maxFailureExcess by how much the new generation's fraction of failures may lie above the old one's;
     *     {@code failed} in the file
     * @param maxUntranslatable fraction of requests that the new generation's format may be unable to express;
     *     {@code untranslatable} in the file
     * @param maxDelayRatio times the old generation's median time to first token that the new one's may be;
     *     {@code delay} in the file
     * @param minAnswers of each generation before any of this counts; {@code least} in the file
     * @param stepsBack whether it then goes back a stage and tries again, and does not end there; {@code then} in the
     *     file
     */
    public record Stop(
            double maxFailureExcess,
            double maxUntranslatable,
            double maxDelayRatio,
            int minAnswers,
            boolean stepsBack) {}

    /**
     * Checks the stages: each holds the one before it.
     *
     * @throws IllegalArgumentException where there is none, one takes back what the one before it moved, or one has no
     *     time
     */
    public MigrationPlan {
        stages = List.copyOf(stages);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a move needs a stage");
        }
        Stage previous = new Stage(0, 0, 0);
        for (Stage stage : stages) {
            checkFollows(previous, stage);
            previous = stage;
        }
    }

    /** Written so that a value that is no number fails too. */
    private static void checkFollows(Stage previous, Stage stage) {
        boolean enginesHold = stage.engineFraction >= previous.engineFraction && stage.engineFraction <= 1;
        boolean tenantsHold = stage.tenantFraction >= previous.tenantFraction && stage.tenantFraction <= 1;
        if (!enginesHold || !tenantsHold) {
            throw new IllegalArgumentException(
                    "each stage's engines and shops must lie between those of the one before it and 1");
        }
        if (!(stage.holdSeconds > 0)) {
            throw new IllegalArgumentException("hold_seconds must be over 0");
        }
    }
}

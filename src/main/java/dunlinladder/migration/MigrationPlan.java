package dunlinladder.migration;

import java.util.List;

/**
 * How a fleet moves from one generation to another.
 *
 * @param from the name of the generation that is left
 * @param to the name of the one that it moves to
 * @param rampSeconds in which an engine that has just moved comes to its full share of requests
 */
public record MigrationPlan(String from, String to, List<Stage> stages, Stop stop, double rampSeconds) {

    /**
     * One stage.
     *
     * @param engines share of the old generation's engines that have moved, 0 to 1
     * @param shops share of the shops whose requests may go to them, 0 to 1
     * @param holdSeconds for which it must go well before the next one opens
     */
    public record Stage(double engines, double shops, double holdSeconds) {}

    /**
     * What ends a move.
     *
     * @param failed by how much the new generation's share of failures may lie over the old one's
     * @param untranslatable share of requests that the new generation's format may be unable to express
     * @param delay times the old generation's median time to the first token that the new one's may be
     * @param least answers of each generation before any of this counts
     * @param back whether it then goes back a stage, and not only no further
     */
    public record Stop(double failed, double untranslatable, double delay, int least, boolean back) {}

    /** Checks the shares: each stage holds the one before it. */
    public MigrationPlan {
        stages = List.copyOf(stages);
        double engines = 0;
        double shops = 0;
        for (Stage stage : stages) {
            if (!(stage.engines >= engines && stage.engines <= 1 && stage.shops >= shops && stage.shops <= 1)) {
                throw new IllegalArgumentException(
                        "each stage's engines and shops must lie between those of" + " the one before it and 1");
            }
            if (!(stage.holdSeconds > 0)) {
                throw new IllegalArgumentException("hold_seconds must be over 0");
            }
            engines = stage.engines;
            shops = stage.shops;
        }
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a move needs a stage");
        }
    }
}

package dunlinladder.migration;

/**
 * A migration that this gateway takes part in.
 *
 * @param target the generation that the engines go to
 */
record ActiveMigration(MigrationPlan plan, MigrationProgress progress, Generation target) {

    boolean isTarget(Generation generation) {
        return generation.name().equals(plan.to());
    }

    boolean isSource(Generation generation) {
        return generation.name().equals(plan.from());
    }
}

package dunlinladder.migration;

/**
 * A migration and its progress at this gateway.
 *
 * @param target the generation to which the engines migrate
 */
record ActiveMigration(MigrationPlan plan, MigrationProgress progress, Generation target) {

    boolean isTarget(Generation generation) {
        return generation.name().equals(plan.to());
    }

    boolean isSource(Generation generation) {
        return generation.name().equals(plan.from());
    }
}

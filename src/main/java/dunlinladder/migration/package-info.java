/**
 * Migrates a fleet from engines of one API format to engines of another, in stages that each gateway opens by itself.
 * Decides which generation an engine belongs to, which engines may receive a request, and when a migration ends.
 *
 * <p>Uses {@code core} for engines and {@code apiformat} for the formats. Read
 * {@link dunlinladder.migration.EngineEligibility} first, then {@link dunlinladder.migration.MigrationPlan}. In the
 * operator's file, the keys {@code generations.*} define the generations, and the keys {@code move.*} a migration.
 */
package dunlinladder.migration;

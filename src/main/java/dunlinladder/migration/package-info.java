/**
 * How a fleet goes from engines of one API format to engines of another, in stages that each gateway opens by itself:
 * which engine belongs to which generation, which engine may have which request, and what ends a migration.
 *
 * <p>It uses {@code core} for engines and {@code apiformat} for the formats. Read
 * {@link dunlinladder.migration.EngineEligibility} first, then {@link dunlinladder.migration.MigrationPlan}. The
 * operators' file calls a generation's formats and matching {@code generations.*} and a migration {@code move.*}.
 */
package dunlinladder.migration;

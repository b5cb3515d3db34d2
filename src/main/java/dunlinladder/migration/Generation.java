package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Engines that speak one format.
 *
 * @param kinds machine kinds, empty for all
 * @param zones halls, empty for all
 * @param ids what an engine's id must match in full, null for any
 */
public record Generation(String name, ApiFormat format, Set<Integer> kinds, Set<Integer> zones, Pattern ids) {

    /** Copies the sets. */
    public Generation {
        kinds = Set.copyOf(kinds);
        zones = Set.copyOf(zones);
    }

    /** Whether the operator's file counts an engine in. */
    public boolean holds(Engine engine) {
        return (kinds.isEmpty() || kinds.contains(engine.kind()))
                && (zones.isEmpty() || zones.contains(engine.zone()))
                && (ids == null || ids.matcher(engine.id()).matches());
    }
}

package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Engines that speak one format; {@code generations.NAME} in the operators' file.
 *
 * @param name as in the file
 * @param format in which its engines are addressed
 * @param kinds indexes of machine kinds, empty for all
 * @param zones indexes of zones, empty for all
 * @param ids what an engine's id must match in full, empty for any
 */
public record Generation(String name, ApiFormat format, Set<Integer> kinds, Set<Integer> zones, Optional<Pattern> ids) {

    /** Copies the sets. */
    public Generation {
        kinds = Set.copyOf(kinds);
        zones = Set.copyOf(zones);
    }

    /** Whether the operators' file counts an engine in. */
    public boolean contains(Engine engine) {
        return (kinds.isEmpty() || kinds.contains(engine.kind()))
                && (zones.isEmpty() || zones.contains(engine.zone()))
                && (ids.isEmpty() || ids.get().matcher(engine.id()).matches());
    }
}

package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A group of engines that speak one format; {@code generations.NAME} in the operator's file.
 *
 * @param name its name in the file
 * @param format the format of requests to its engines
 * @param kinds indexes of its engines' machine kinds, empty for all kinds
 * @param zones indexes of its engines' zones, empty for all zones
 * @param ids pattern that an engine's whole id must match, empty for any id
 */
public record Generation(String name, ApiFormat format, Set<Integer> kinds, Set<Integer> zones, Optional<Pattern> ids) {

    /** Copies the two sets. */
    public Generation {
        kinds = Set.copyOf(kinds);
        zones = Set.copyOf(zones);
    }

    /** Whether an engine matches this generation's kinds, zones and ids. */
    public boolean contains(Engine engine) {
        return (kinds.isEmpty() || kinds.contains(engine.kind()))
                && (zones.isEmpty() || zones.contains(engine.zone()))
                && (ids.isEmpty() || ids.get().matcher(engine.id()).matches());
    }
}

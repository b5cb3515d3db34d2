package dunlinladder.membership;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import java.util.List;

/**
 * One update of the engine list: a snapshot, which names every engine, or a delta, which names the engines that have
 * changed since another version. Each entry says an engine's whole state.
 *
 * @param version resource version of the list with this update applied; a newer list has a higher one
 * @param scope what {@code engines} covers: {@code COMPLETE} and {@code CACHED} (from before this process started) make
 *     a snapshot, {@code CHANGES} makes a delta
 * @param engines the engines that the update names; may be empty
 */
public record EndpointUpdate(long version, RequestRouter.Scope scope, List<Engine> engines) {

    /** Copies the engines, so that an update never changes. */
    public EndpointUpdate {
        engines = List.copyOf(engines);
    }

    /** Whether it names every engine, so that an engine that it lacks is no longer listed. */
    public boolean isSnapshot() {
        return scope != RequestRouter.Scope.CHANGES;
    }
}

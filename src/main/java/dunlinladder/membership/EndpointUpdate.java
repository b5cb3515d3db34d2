package dunlinladder.membership;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import java.util.List;

/**
 * An update of the engine list: a snapshot, which names every engine, or a delta, which names the engines that have
 * changed since another version. Each entry contains the complete state of an engine.
 *
 * @param version resource version of the list after this update; a newer list has a higher version
 * @param scope which engines {@code engines} covers: with {@code COMPLETE} or {@code CACHED} (a list from before this
 *     process started) the update is a snapshot, with {@code CHANGES} it is a delta
 * @param engines the engines that the update names; may be empty
 */
public record EndpointUpdate(long version, RequestRouter.Scope scope, List<Engine> engines) {

    /** Copies the engines, so that the update is immutable. */
    public EndpointUpdate {
        engines = List.copyOf(engines);
    }

    /** Whether the update names every engine, so that an engine that is missing from it is no longer listed. */
    public boolean isSnapshot() {
        return scope != RequestRouter.Scope.CHANGES;
    }
}

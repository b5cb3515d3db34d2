package dunlinladder.membership;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import java.util.List;

/**
 * One piece of news of the engine list.
 *
 * @param version the list's version with this news in it
 * @param scope what {@code engines} is the whole of
 */
public record EndpointUpdate(long version, RequestRouter.Scope scope, List<Engine> engines) {

    /** Whether it is the list from its beginning, and not what has changed since another. */
    public boolean isSnapshot() {
        return scope != RequestRouter.Scope.CHANGES;
    }
}

package dunlinladder.membership;

import dunlinladder.core.Decider;
import dunlinladder.core.Engine;
import java.util.List;

/**
 * One piece of news of the engine list.
 *
 * @param version the list's version with this news in it
 * @param scope what {@code engines} is the whole of
 */
public record News(long version, Decider.Scope scope, List<Engine> engines) {

    /** Whether it is the list from its beginning, and not what has changed since another. */
    public boolean whole() {
        return scope != Decider.Scope.CHANGES;
    }
}

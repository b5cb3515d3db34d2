package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * What limits the engines that may have one request, as far as engines differ in it. The lock of this object guards its
 * fields: the front writes them and the routing policy asks while an attempt is in flight.
 */
public final class RequestConstraints {

    private final String requestId;
    private final int tenant;
    private final boolean repeatable;
    private final Map<ApiFormat, String> inexpressible = new EnumMap<>(ApiFormat.class);
    private Optional<String> prefilledBy = Optional.empty();

    /**
     * Creates the constraints of a request that no format and no attempt limits yet.
     *
     * @param tenant the index of its tenant
     * @param repeatable whether the request may run again
     */
    public RequestConstraints(String requestId, int tenant, boolean repeatable) {
        this.requestId = requestId;
        this.tenant = tenant;
        this.repeatable = repeatable;
    }

    String requestId() {
        return requestId;
    }

    int tenant() {
        return tenant;
    }

    boolean isRepeatable() {
        return repeatable;
    }

    /** A format cannot express the request because of a field of the client's. */
    public synchronized void cannotExpress(ApiFormat format, String field) {
        inexpressible.put(format, field);
    }

    /** The client's field that a format cannot express; empty where it expresses the request. */
    synchronized Optional<String> inexpressibleField(ApiFormat format) {
        return Optional.ofNullable(inexpressible.get(format));
    }

    /**
     * The prompt was prefilled by an engine of a generation: only decode engines of that one can take the KV cache.
     *
     * @param generation its name; empty where the engine belongs to none, and then every decode engine may try
     */
    public synchronized void prefilledBy(Optional<String> generation) {
        prefilledBy = generation;
    }

    /** The KV cache of the prompt is lost: any generation may begin anew. */
    public synchronized void kvCacheLost() {
        prefilledBy = Optional.empty();
    }

    /** The name of the generation that holds the KV cache of the prompt; empty while none does. */
    synchronized Optional<String> prefilledBy() {
        return prefilledBy;
    }
}

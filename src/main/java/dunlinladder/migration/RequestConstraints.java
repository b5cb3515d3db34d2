package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The properties of one request that limit which engines may receive it. The lock of this object guards its fields,
 * because the front writes them and the routing policy reads them while an attempt is in flight.
 */
public final class RequestConstraints {

    private final String requestId;
    private final int tenant;
    private final boolean repeatable;
    private final Map<ApiFormat, String> inexpressibleFields = new EnumMap<>(ApiFormat.class);
    private Optional<String> prefillGeneration = Optional.empty();

    /**
     * Creates the constraints of a request that no format and no attempt limits yet.
     *
     * @param tenant index of its tenant
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

    /** Records that a format cannot express the request because of one of the client's fields. */
    public synchronized void recordInexpressibleField(ApiFormat format, String field) {
        inexpressibleFields.put(format, field);
    }

    /** Returns the client's field that a format cannot express; empty if it can express the request. */
    synchronized Optional<String> inexpressibleField(ApiFormat format) {
        return Optional.ofNullable(inexpressibleFields.get(format));
    }

    /**
     * Records that an engine has prefilled the prompt. Only decode engines of the same generation can fetch the KV
     * cache.
     *
     * @param generation name of the engine's generation; empty if it belongs to none, and then every decode engine may
     *     try
     */
    public synchronized void setPrefillGeneration(Optional<String> generation) {
        prefillGeneration = generation;
    }

    /** Records that the KV cache of the prompt is lost, so any generation may prefill the prompt again. */
    public synchronized void recordKvCacheLost() {
        prefillGeneration = Optional.empty();
    }

    /** Returns the name of the generation that holds the KV cache of the prompt; empty if none does. */
    synchronized Optional<String> prefillGeneration() {
        return prefillGeneration;
    }
}

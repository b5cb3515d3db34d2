package dunlinladder.transport.chat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/** Finds the tenant of a request by the API key that came with it. */
final class TenantAuthenticator {

    private static final String BEARER = "Bearer ";

    private TenantAuthenticator() {}

    /**
     * Returns the index of the tenant.
     *
     * @param apiKey value of the header {@code x-api-key}, null if it is absent; if it is given, {@code authorization}
     *     is ignored
     * @param authorization value of the header {@code Authorization}, null if it is absent
     * @param tenants index of the tenant by API key
     * @throws ChatError if the request has no key, or an unknown one
     */
    static int tenant(String apiKey, String authorization, Map<String, Integer> tenants) {
        if (apiKey != null) {
            return tenantOfKey(apiKey, tenants);
        }
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw ChatError.unauthenticated();
        }
        return tenantOfKey(authorization.substring(BEARER.length()), tenants);
    }

    private static int tenantOfKey(String key, Map<String, Integer> tenants) {
        byte[] requestKey = key.trim().getBytes(StandardCharsets.UTF_8);
        for (Map.Entry<String, Integer> entry : tenants.entrySet()) {
            // The comparison takes the same time wherever the keys differ, so its duration reveals no part of a key.
            if (MessageDigest.isEqual(entry.getKey().getBytes(StandardCharsets.UTF_8), requestKey)) {
                return entry.getValue();
            }
        }
        throw ChatError.unauthenticated();
    }
}

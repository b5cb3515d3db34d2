package dunlinladder.transport.chat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/** Finds the tenant whose API key came with a request. */
final class TenantAuthenticator {

    private static final String BEARER = "Bearer ";

    private TenantAuthenticator() {}

    /**
     * The number of the tenant.
     *
     * @param apiKey value of the header {@code x-api-key}, null where it is absent; it goes before the other
     * @param authorization value of the header {@code Authorization}, null where it is absent
     * @throws ChatError where neither holds a key that is known
     */
    static int tenant(String apiKey, String authorization, Map<String, Integer> tenants) {
        if (apiKey != null) {
            return tenantOf(apiKey, tenants);
        }
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw ChatError.unauthenticated();
        }
        return tenantOf(authorization.substring(BEARER.length()), tenants);
    }

    private static int tenantOf(String key, Map<String, Integer> tenants) {
        byte[] given = key.trim().getBytes(StandardCharsets.UTF_8);
        for (Map.Entry<String, Integer> known : tenants.entrySet()) {
            // Takes as long whether the first or the last byte differs.
            if (MessageDigest.isEqual(known.getKey().getBytes(StandardCharsets.UTF_8), given)) {
                return known.getValue();
            }
        }
        throw ChatError.unauthenticated();
    }
}

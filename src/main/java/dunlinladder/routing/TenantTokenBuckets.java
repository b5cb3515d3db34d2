package dunlinladder.routing;

import java.util.Arrays;

/**
 * Token buckets for the quotas of the tenants. A bucket holds the requests that its tenant may send to this gateway.
 * Its rate is the tenant's quota divided by the number of gateways. Every tenant may send a burst at the start.
 */
final class TenantTokenBuckets {
    /** Seconds of its quota that a tenant may save up. */
    private static final double BURST_SECONDS = 3;
    /** Minimum burst in requests with many gateways; the rate of a bucket may be below one request per second. */
    private static final double MIN_BURST = 4;

    private final double[] rates;
    private final double minBurst;
    private final double[] tokens;
    private final double[] filledAt;

    TenantTokenBuckets(PolicyContext context) {
        int gateways = context.settings.gateways();
        rates = context.settings.quotas().stream()
                .mapToDouble(rate -> rate / gateways)
                .toArray();
        minBurst = MIN_BURST * context.unobservedLoad;
        tokens = new double[rates.length];
        filledAt = new double[rates.length];
        Arrays.fill(tokens, Double.POSITIVE_INFINITY); // reduced to the burst at the first request
    }

    /** Counts a request of a tenant and returns whether it is over the quota. */
    boolean isOverQuota(int tenant, double now) {
        if (tenant < 0 || tenant >= rates.length) {
            return false;
        }
        double burst = Math.max(rates[tenant] * BURST_SECONDS, minBurst);
        double available = Math.min(tokens[tenant] + (now - filledAt[tenant]) * rates[tenant], burst);
        filledAt[tenant] = now;
        tokens[tenant] = available < 1 ? available : available - 1;
        return available < 1;
    }
}

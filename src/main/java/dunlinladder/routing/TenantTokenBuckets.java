package dunlinladder.routing;

import java.util.Arrays;

/** Quotas: what each tenant has left of this gateway's part of its requests a second. All may first send a burst. */
final class TenantTokenBuckets {
    private static final double BURST_SECONDS = 3; // of quota that a tenant may save up
    private static final double MIN_BURST = 4; // requests likewise, where this gateway's part is under one a second

    private final double[] rates;
    private final double minBurst;
    private final double[] tokens;
    private final double[] filledAt;

    TenantTokenBuckets(PolicyContext context) {
        int gateways = context.settings.balancers();
        rates = context.settings.quotas().stream()
                .mapToDouble(rate -> rate / gateways)
                .toArray();
        minBurst = MIN_BURST * context.unobservedLoad;
        tokens = new double[rates.length];
        filledAt = new double[rates.length];
        Arrays.fill(tokens, Double.POSITIVE_INFINITY); // cut to the burst at the first request
    }

    /** Counts a request of a tenant; whether it is over the quota. */
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

package dunlinladder.routing;

import java.util.Arrays;
import java.util.List;

/** What each tenant has left of this router's part of its quota, in requests. Plain state of one router. */
final class TenantTokenBuckets {

    private final double[] rates;
    private final double burst;
    private final double least;
    private final double[] left;
    private final double[] at;

    /**
     * All may send at once what they may save up.
     *
     * @param perSecond requests a second of each tenant, all routers together
     * @param routers how many routers share that
     * @param burst seconds of quota that may be saved up
     * @param least requests that may be saved up at the least
     */
    TenantTokenBuckets(List<Double> perSecond, int routers, double burst, double least) {
        rates = perSecond.stream().mapToDouble(rate -> rate / routers).toArray();
        this.burst = burst;
        this.least = least;
        left = new double[rates.length];
        at = new double[rates.length];
        Arrays.fill(left, Double.POSITIVE_INFINITY); // cut to what may be saved at the first request
    }

    /** Counts a request of a tenant; true where it is over its share. */
    boolean overShare(int tenant, double now) {
        if (tenant < 0 || tenant >= rates.length) {
            return false;
        }
        double rate = rates[tenant];
        double room = Math.min(left[tenant] + (now - at[tenant]) * rate, Math.max(rate * burst, least));
        at[tenant] = now;
        left[tenant] = room < 1 ? room : room - 1;
        return room < 1;
    }
}

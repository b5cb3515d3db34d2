package dunlinladder.routing;

import java.util.List;

/**
 * What a router is told of its site at its start.
 *
 * @param balancers gateways that share the fleet, this one included
 * @param zone the zone of this gateway
 * @param classes the service classes by number
 * @param quotas requests a second of each tenant, all gateways together
 * @param roleByKind role of the engines of each kind; kinds past the end are mixed
 * @param kvTokens tokens that the KV memory of an engine of each kind holds; 0 for "not told"
 * @param maxAttempts attempts that a request may have in all
 * @param readInPlace whether decode engines may prefill for a retry
 * @param retryAfter whether a reject tells when to ask again
 * @param maxRetryAfter seconds that such advice is at most
 * @param listOnRequest whether discovery sends changes only after it was asked for them
 */
public record RoutingSettings(
        int balancers,
        int zone,
        List<ServiceClass> classes,
        List<Double> quotas,
        List<Role> roleByKind,
        List<Double> kvTokens,
        int maxAttempts,
        boolean readInPlace,
        boolean retryAfter,
        double maxRetryAfter,
        boolean listOnRequest,
        Rules rules) {

    /** What an engine does: prefill only, decode only, or both. */
    public enum Role {
        PREFILL,
        DECODE,
        MIXED
    }

    /** Whether a request may run again after an attempt that may have run: always, with its key, never. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which engines drop the repeats of a keyed request: all, those of one zone, or those of one rack. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests.
     *
     * @param aim seconds in which the first token of an empty prompt is wanted
     * @param aimPerKilotoken seconds more for each thousand prompt tokens
     * @param tokenAim seconds in which each further token is wanted
     * @param group which engines drop repeats, for {@code repeatWindow} seconds after the first attempt
     * @param worth priority weight of an answer in time; {@code lateWorth} that of a late one
     */
    public record ServiceClass(
            double aim,
            double aimPerKilotoken,
            double aimStretch,
            double tokenAim,
            Effect effect,
            Group group,
            double repeatWindow,
            double worth,
            double lateWorth) {}

    /**
     * The site's rules, times in seconds; the names are those of the settings.
     *
     * @param fallMultiple times its part of the load at which an engine that warms up fails
     * @param tipAfter seconds of such overload after which it does
     * @param cold seconds for which an engine warms up
     * @param coldFrom part of its capacity that it has at its start
     * @param releaseWithin seconds within which a KV cache that nobody will fetch has to be released
     */
    public record Rules(
            double answerSlack,
            double stopSendingWithin,
            double fallMultiple,
            double tipAfter,
            double cold,
            double coldFrom,
            double releaseWithin) {}
}

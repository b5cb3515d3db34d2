package dunlinladder.routing;

import dunlinladder.core.RerunRule;
import java.util.List;

/**
 * Settings of a router, which it gets at its start.
 *
 * @param gateways number of gateways that share the fleet, including this one
 * @param zone the zone of this gateway
 * @param classes the service classes by number
 * @param quotas requests per second of each tenant, for all gateways together
 * @param roleByKind role of the engines of each kind; kinds past the end are mixed
 * @param kvCapacityByKind capacity in tokens of the KV memory of an engine of each kind; 0 if unknown
 * @param maxAttempts maximum number of attempts of a request
 * @param decodeEnginesMayPrefill whether decode engines may prefill for a retry
 * @param sendsRetryAfter whether a reject includes advice when to retry
 * @param maxRetryAfter maximum of that advice in seconds
 * @param changesOnRequest whether discovery sends changes only after a request for them
 */
public record RoutingSettings(
        int gateways,
        int zone,
        List<ServiceClass> classes,
        List<Double> quotas,
        List<Role> roleByKind,
        List<Double> kvCapacityByKind,
        int maxAttempts,
        boolean decodeEnginesMayPrefill,
        boolean sendsRetryAfter,
        double maxRetryAfter,
        boolean changesOnRequest,
        Rules rules) {

    /** What an engine does: prefill only, decode only, or both. */
    public enum Role {
        PREFILL,
        DECODE,
        MIXED
    }

    /** Whether a request may run again after an attempt that may have run: always, with its key, or never. */
    public enum Idempotence {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The engines that drop repeats of a keyed request: all, those of a zone, or those of a rack. */
    public enum DeduplicationScope {
        ALL(RerunRule.Scope.ALL),
        ZONE(RerunRule.Scope.ZONE),
        CELL(RerunRule.Scope.CELL);

        private final RerunRule.Scope rerunScope;

        DeduplicationScope(RerunRule.Scope rerunScope) {
            this.rerunScope = rerunScope;
        }
    }

    /**
     * A service class.
     *
     * @param baseLatencyObjective seconds within which the first token of an empty prompt is wanted
     * @param latencyObjectivePerKilotoken additional seconds for each thousand prompt tokens
     * @param latencyObjectiveStretch not used by the gateway
     * @param tokenLatencyObjective seconds within which each further token is wanted
     * @param deduplicationScope the engines that drop repeats, for {@code deduplicationWindow} seconds after the first
     *     attempt
     * @param priorityWeight priority weight of an answer in time; {@code latePriorityWeight} is that of a late answer
     */
    public record ServiceClass(
            double baseLatencyObjective,
            double latencyObjectivePerKilotoken,
            double latencyObjectiveStretch,
            double tokenLatencyObjective,
            Idempotence idempotence,
            DeduplicationScope deduplicationScope,
            double deduplicationWindow,
            double priorityWeight,
            double latePriorityWeight) {

        /** Returns where and until when a request of this class may run again after an attempt that may have run. */
        public RerunRule rerunRule() {
            return switch (idempotence) {
                case SAFE -> RerunRule.UNRESTRICTED;
                case KEYED -> new RerunRule(deduplicationScope.rerunScope, deduplicationWindow);
                case UNSAFE -> RerunRule.FORBIDDEN;
            };
        }
    }

    /**
     * The rules of the deployment, with times in seconds; the names are those of the settings.
     *
     * @param answerSlack not used by the gateway
     * @param stopSendingWithin seconds within which a gateway stops sending requests to an engine that is draining or
     *     has left
     * @param fallMultiple load, as a multiple of its part, at which an engine that is warming up fails
     * @param tipAfter seconds after which it fails under that load
     * @param cold seconds for which an engine is warming up after its start
     * @param coldFrom fraction of its full capacity that an engine has at its start
     * @param releaseWithin seconds within which a KV cache that no engine will fetch has to be released
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

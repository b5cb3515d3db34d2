package dunlinladder.core;

import java.util.Locale;

/** What a gateway counts from its start on; the names in the log are these in lower case. */
public enum Counter {
    /** Requests that were accepted. */
    REQUESTS,
    /** Requests that were answered as rejected. */
    REQUESTS_REJECTED,
    /** Requests that were answered as failed. */
    REQUESTS_FAILED,
    /** Requests that were answered before their deadline, as the process ended. */
    REQUESTS_EXPIRED,
    /** Requests whose client left before the answer. */
    CLIENTS_GONE,
    /** Attempts that were handed to the transport. */
    ATTEMPTS,
    /** Attempts that ended before their last byte was written. */
    ATTEMPTS_NOT_SENT,
    /** Attempts that were written, and whose answer had not begun when the KV cache could wait no longer. */
    ATTEMPTS_UNCONFIRMED,
    /** Attempts whose connection broke. */
    ATTEMPTS_RESET,
    /** Attempts that brought no first token in time. */
    ATTEMPTS_TIMED_OUT,
    /** Connections to engines that were asked for. */
    CONNECTS,
    /** Connections to engines that did not come up in time. */
    CONNECTS_TIMED_OUT,
    /** Connections to engines that failed otherwise. */
    CONNECTS_FAILED,
    /** Releases of a KV cache that were begun. */
    RELEASES,
    /** Releases that no engine took. */
    RELEASES_FAILED,
    /** Sends refused by the {@link SendGuard} as the client had left or the attempt was given up. */
    SENDS_REFUSED_CLIENT_GONE,
    /** Sends refused as they came too late. */
    SENDS_REFUSED_TOO_LATE,
    /** Sends refused as the request may have run. */
    SENDS_REFUSED_RERUN,
    /** Sends refused as the engine takes nothing new. */
    SENDS_REFUSED_ENGINE,
    /** Rejections refused as the request may have run. */
    REJECTIONS_REFUSED,
    /** Violations of an invariant: a KV cache was held too long; see {@link CacheHoldLedger}. */
    INVARIANT_CACHE_HELD,
    /** Client connections that were closed without a request, to make room. */
    CONNECTIONS_EVICTED,
    /** Failures of accept. */
    ACCEPT_FAILURES,
    /** Violations of an invariant: the policy made no decision for a request by its deadline. */
    INVARIANT_DECISION_OVERDUE,
    /** Steps of the machine's wall clock. */
    WALL_CLOCK_STEPS;

    /** Its name in the log. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

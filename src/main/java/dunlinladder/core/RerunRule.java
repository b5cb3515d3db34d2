package dunlinladder.core;

import java.util.Optional;

/**
 * Where and until when a request of a service class may run again after an attempt that may have run, by the platform
 * protocol specification. This is the only statement of that rule: the routing policy chooses by it, {@link SendGuard}
 * checks by it, and the fronts word their answers by it.
 *
 * @param scope the engines that may get the request again
 * @param windowSeconds seconds after the send of an attempt that may have run in which it may be sent again
 */
public record RerunRule(Scope scope, double windowSeconds) {

    /** A request may run as often as needed, at any engine and at any time. */
    public static final RerunRule UNRESTRICTED = new RerunRule(Scope.ALL, Double.POSITIVE_INFINITY);
    /** A request must not run twice. */
    public static final RerunRule FORBIDDEN = new RerunRule(Scope.NONE, 0);

    /** The engines that may get a request again, relative to the engine at which it may have run. */
    public enum Scope {
        NONE,
        CELL,
        ZONE,
        ALL
    }

    /** The failure domains of an engine: the numbers of its zone and its cell. */
    public record Location(int zone, int cell) {}

    /** Whether an engine may get the request again after it may have run at another one, while the window lasts. */
    public boolean covers(Location mayHaveRunAt, Location next) {
        return switch (scope) {
            case NONE -> false;
            case CELL -> mayHaveRunAt.cell() == next.cell();
            case ZONE -> mayHaveRunAt.zone() == next.zone();
            case ALL -> true;
        };
    }

    /**
     * Whether a client may retry a request that may have run. A client cannot choose the engine, so this is the case
     * only if every engine may get the request again.
     */
    public boolean allowsClientRetry() {
        return scope == Scope.ALL;
    }

    /** Whether a request may run again at any engine and at any time. */
    boolean isUnrestricted() {
        return scope == Scope.ALL && windowSeconds == Double.POSITIVE_INFINITY;
    }

    /** Whether a request with these attempts may be sent to an engine at clock time {@code now}, in seconds. */
    boolean allowsRerun(AttemptHistory history, Engine next, double now) {
        return now <= latestRerun(history)
                && history.possibleRuns().stream()
                        .allMatch(run -> covers(run.engine().location(), next.location()));
    }

    /** Returns the clock time in seconds until which a request with these attempts may be sent again. */
    double latestRerun(AttemptHistory history) {
        Optional<AttemptHistory.PossibleRun> first =
                history.possibleRuns().stream().findFirst();
        return first.map(run -> run.sentAt() + windowSeconds).orElse(Double.POSITIVE_INFINITY);
    }
}

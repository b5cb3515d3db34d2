package dunlinladder.routing;

import java.util.Optional;

/**
 * Selects the engine at which a request starts: a prefill engine, a mixed engine that serves all of it, or the engine
 * of its session's last turn.
 */
record StartSelector(
        PolicyContext context,
        RetryPolicy retries,
        OutlierDetector outliers,
        AdmissionControl admission,
        PrefillSelector prefillSelector,
        MixedEngineSelector mixedSelector) {
    /** Expected wait for the engine of the session's last turn that is acceptable, as a fraction of the objective. */
    private static final double STICKY_WAIT_FRACTION = 0.8;

    Optional<EngineState> select(RequestState request) {
        Optional<EngineState> mixed = mixedSelector.select(request);
        boolean canSplit = retries.attemptsLeft(request) >= 2;
        Optional<EngineState> prefill = canSplit ? prefillSelector.select(request) : Optional.empty();
        boolean useMixed =
                mixed.isPresent() && (prefill.isEmpty() || prefersMixed(request, mixed.get(), prefill.get()));
        Optional<EngineState> selected = useMixed ? mixed : prefill;
        Optional<EngineState> sticky = canSplit ? engineOfSession(request) : Optional.empty();
        return sticky.filter(engine ->
                        selected.isEmpty() || isWaitAcceptable(request, engine, selected.get(), STICKY_WAIT_FRACTION))
                .or(() -> selected);
    }

    private boolean prefersMixed(RequestState request, EngineState mixed, EngineState prefill) {
        return mixedSelector.isBelowShare(request, mixed)
                        && isWaitAcceptable(request, mixed, prefill, PrefillSelector.ACCEPTABLE_DELAY_FRACTION)
                || mixedSelector.shouldRelieve(request, prefill, mixed);
    }

    /** Whether the expected wait at an engine is at most that at the other or this fraction of the objective. */
    private boolean isWaitAcceptable(RequestState request, EngineState engine, EngineState other, double fraction) {
        double maxWait = Math.max(fraction * request.latencyObjective(), admission.expectedWait(request, other));
        return admission.expectedWait(request, engine) <= maxWait;
    }

    /**
     * Returns the engine that probably caches the session's earlier turns, if it is a candidate. Returns an empty value
     * if this gateway does not observe all load. Following the session avoids congestion in which turns that are
     * prefilled again evict the cached prefixes of other sessions. It can do harm if one engine gets the long sessions.
     */
    private Optional<EngineState> engineOfSession(RequestState request) {
        if (!context.observesAllLoad()) {
            return Optional.empty();
        }
        return context.prefixCache
                .engineOfSession(request.details.session())
                .filter(lastEngine -> outliers.candidates(request, engine -> engine.role == lastEngine.role)
                        .contains(lastEngine));
    }
}

package dunlinladder.routing;

import java.util.Optional;

/** Where a request starts: at a prefill engine, whole at a mixed one, or where its session's last turn was. */
record StartSelector(
        PolicyContext context,
        RetryPolicy retries,
        OutlierDetector outliers,
        AdmissionControl admission,
        PrefillSelector prefillEngines,
        MixedEngineSelector mixedEngines) {
    private static final double MAX_STICKY_WAIT = 0.8; // of the objective, for the engine of the session's last turn

    Optional<EngineState> select(RequestState request) {
        Optional<EngineState> mixed = mixedEngines.select(request);
        boolean canSplit = retries.attemptsLeft(request) >= 2;
        Optional<EngineState> prefill = canSplit ? prefillEngines.select(request) : Optional.empty();
        boolean unsplit = mixed.isPresent() && (prefill.isEmpty() || takesUnsplit(request, mixed.get(), prefill.get()));
        Optional<EngineState> chosen = unsplit ? mixed : prefill;
        Optional<EngineState> sticky = canSplit ? engineOfSession(request) : Optional.empty();
        return sticky.filter(engine -> chosen.isEmpty() || isSoonEnough(request, engine, chosen.get(), MAX_STICKY_WAIT))
                .or(() -> chosen);
    }

    private boolean takesUnsplit(RequestState request, EngineState mixed, EngineState prefill) {
        return mixedEngines.isDue(request, mixed)
                        && isSoonEnough(request, mixed, prefill, PrefillSelector.MAX_LATE_FRACTION)
                || mixedEngines.relieves(request, prefill, mixed);
    }

    /** Whether an engine is no later than the other, or within a fraction of the objective. */
    private boolean isSoonEnough(RequestState request, EngineState engine, EngineState other, double fraction) {
        double bound = Math.max(fraction * request.latencyObjective(), admission.expectedWait(request, other));
        return admission.expectedWait(request, engine) <= bound;
    }

    /**
     * The engine that caches the session's earlier turns. Guards against the jam in which turns read anew push out what
     * others had cached. Can harm where one engine gets the long sessions.
     */
    private Optional<EngineState> engineOfSession(RequestState request) {
        if (!context.seesAllLoad()) {
            return Optional.empty();
        }
        return context.prefixCache
                .engineOfSession(request.details.session())
                .filter(last -> outliers.candidates(request, engine -> engine.role == last.role)
                        .contains(last));
    }
}

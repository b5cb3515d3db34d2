package dunlinladder.routing;

/** How full the KV memory of an engine is, 0 to 1 and over. Estimates; decides nothing. */
final class KvMemoryEstimator {
    /** Seconds that a report may have been under way: what was sent since may not be in it. */
    private static final double REPORT_DELAY_SECONDS = 0.4;

    private final PolicyContext context;

    KvMemoryEstimator(PolicyContext context) {
        this.context = context;
    }

    /** By report and what was sent since: a full decode engine sends answers back to its queue. */
    double fractionNow(EngineState engine) {
        boolean fresh = engine.kvCapacityTokens > 0 && engine.hasFreshReport(context.now);
        double from =
                Math.max(engine.reportAt() - REPORT_DELAY_SECONDS, context.now - EngineState.REPORT_VALID_SECONDS);
        return fraction(engine) + (fresh ? engine.tokensSentSince(from) / engine.kvCapacityTokens : 0);
    }

    /** By a fresh report, else by this gateway's own streams and its part of all. */
    double fraction(EngineState engine) {
        if (engine.reportsMemory(context.now)) {
            return engine.reportedMemory();
        }
        return engine.kvCapacityTokens > 0
                ? engine.kvTokens * context.settings.balancers() / engine.kvCapacityTokens
                : 0;
    }
}

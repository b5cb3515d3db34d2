package dunlinladder.routing;

/** Estimates how full the KV memory of an engine is, from 0 to 1 or more. Decides nothing. */
final class KvMemoryEstimator {
    /** Seconds that a report may have been in transit; streams sent in that time may not be included in it. */
    private static final double REPORT_DELAY_SECONDS = 0.4;

    private final PolicyContext context;

    KvMemoryEstimator(PolicyContext context) {
        this.context = context;
    }

    /**
     * Returns the fraction in use, plus that of the streams sent since the report if there is a fresh one. They are
     * added because a decode engine with full memory puts answers back in its queue.
     */
    double currentFraction(EngineState engine) {
        boolean fresh = engine.kvCapacityTokens > 0 && engine.hasFreshReport(context.now);
        double since =
                Math.max(engine.reportAt() - REPORT_DELAY_SECONDS, context.now - EngineState.REPORT_VALID_SECONDS);
        return fraction(engine) + (fresh ? engine.kvTokensSentSince(since) / engine.kvCapacityTokens : 0);
    }

    /** Returns the fraction in use by a fresh report, else by this gateway's streams times the number of gateways. */
    double fraction(EngineState engine) {
        if (engine.reportsMemory(context.now)) {
            return engine.reportedMemory();
        }
        return engine.kvCapacityTokens > 0
                ? engine.kvTokens * context.settings.gateways() / engine.kvCapacityTokens
                : 0;
    }
}

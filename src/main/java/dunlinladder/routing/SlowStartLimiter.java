package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Rules;

/**
 * Slow start of engines that are warming up: limits the requests for such an engine to its part of the peak throughput
 * that this gateway has observed for the role. Arrivals are not used, as retries multiply them. The limit also holds if
 * a whole zone is cold and after a restart of this gateway. It can do harm if the load has just risen.
 */
record SlowStartLimiter(PolicyContext context) {
    /** The budget as a fraction of the load that the rules allow; the rest covers errors. */
    private static final double BUDGET_FRACTION = 0.5;

    /**
     * Whether the engine may get another request; updates its budget. With few gateways, the budget starts at one
     * request. With many, it starts at a random value up to one, as otherwise each of them would send a request at
     * once.
     */
    boolean mayForward(EngineState engine) {
        if (!context.isWarmingUp(engine)) {
            return true;
        }
        Rules rules = context.settings.rules();
        double weight = engine.endpoint.weight();
        double fraction = weight / Math.max(weight, context.fleet.totalWeight(engine.role));
        double peak = context.throughput.peak(engine.role);
        double rate = peak * fraction * context.capacity(engine) * BUDGET_FRACTION * rules.fallMultiple();
        double budget = engine.slowStartBudgetAt < engine.endpoint.startedAt()
                ? 1 - context.unobservedLoad * context.random.nextDouble()
                : engine.slowStartBudget + (context.now - engine.slowStartBudgetAt) * rate;
        engine.slowStartBudget = Math.min(budget, Math.max(1, rate * rules.tipAfter()));
        engine.slowStartBudgetAt = context.now;
        return engine.slowStartBudget >= 1;
    }
}

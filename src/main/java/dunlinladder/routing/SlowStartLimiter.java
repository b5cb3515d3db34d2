package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Rules;

/**
 * Slow start (rule 4): an engine that warms up earns forwards at its part of the most that this gateway has seen its
 * role serve, as arrivals are multiplied by retries. Holds with a whole zone cold and after a restart of this gateway;
 * harms when load has just risen.
 */
record SlowStartLimiter(PolicyContext context) {
    private static final double BUDGET_FRACTION = 0.5; // of what the rules allow; the rest is for error

    /** The budget starts at one where gateways are few, and is drawn where many would each grant one. */
    boolean mayForward(EngineState engine) {
        if (!context.isWarmingUp(engine)) {
            return true;
        }
        Rules rules = context.settings.rules();
        double weight = engine.endpoint.weight();
        double fraction = weight / Math.max(weight, context.fleet.totalWeight(engine.role));
        double peak = context.throughput.peak(engine.role);
        double rate = peak * fraction * context.capacity(engine) * BUDGET_FRACTION * rules.fallMultiple();
        double earned = engine.slowStartBudgetAt < engine.endpoint.startedAt()
                ? 1 - context.unobservedLoad * context.random.nextDouble()
                : engine.slowStartBudget + (context.now - engine.slowStartBudgetAt) * rate;
        engine.slowStartBudget = Math.min(earned, Math.max(1, rate * rules.tipAfter()));
        engine.slowStartBudgetAt = context.now;
        return engine.slowStartBudget >= 1;
    }
}

package dunlinladder.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineBuilder;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which engine may have which request. */
class EngineEligibilityTest {

    private static final int MIXED_KIND = 0;
    private static final int PREFILL_KIND = 1;
    private static final int DECODE_KIND = 2;

    private static final Generation OLD =
            new Generation("old", ApiFormat.COMPLETIONS, Set.of(), Set.of(), Optional.empty());
    private static final Generation NEW =
            new Generation("new", ApiFormat.RESPONSES, Set.of(), Set.of(), Optional.of(Pattern.compile("fresh-.*")));

    private static final Engine NEW_ENGINE = engine("fresh-1", MIXED_KIND);
    private static final Engine OLD_ENGINE = engine("box-1", MIXED_KIND);

    private final List<Engine> listed = new ArrayList<>(List.of(NEW_ENGINE, OLD_ENGINE));

    private static Engine engine(String id, int kind) {
        return EngineBuilder.engine(id).kind(kind).build();
    }

    private static Set<EngineStage> stages(Engine engine) {
        return switch (engine.kind()) {
            case PREFILL_KIND -> EnumSet.of(EngineStage.PREFILL);
            case DECODE_KIND -> EnumSet.of(EngineStage.DECODE);
            default -> EnumSet.allOf(EngineStage.class);
        };
    }

    private EngineEligibility withoutMigration() {
        return eligibility(Optional.empty(), 1);
    }

    private EngineEligibility eligibility(Optional<MigrationPlan> plan, long seed) {
        return new EngineEligibility(List.of(NEW, OLD), plan, () -> listed, EngineEligibilityTest::stages, seed, 0);
    }

    private static Optional<MigrationPlan> oneStage(double engineFraction, double tenantFraction) {
        return Optional.of(MigrationPlanBuilder.plan()
                .stage(engineFraction, tenantFraction)
                .build());
    }

    private static RequestConstraints request(String id) {
        return new RequestConstraints(id, 0, true);
    }

    @Test
    void anEngineGetsOnlyWhatItsFormatExpresses() {
        EngineEligibility eligibility = withoutMigration();
        RequestConstraints request = request("a");
        assertTrue(eligibility.isEligible(NEW_ENGINE, request, 0) && eligibility.isEligible(OLD_ENGINE, request, 0));
        request.cannotExpress(ApiFormat.RESPONSES, "suffix");
        assertFalse(eligibility.isEligible(NEW_ENGINE, request, 0));
        assertTrue(eligibility.isEligible(OLD_ENGINE, request, 0));
        assertEquals(Optional.empty(), eligibility.inexpressibleField(request, 0));
        listed.remove(OLD_ENGINE);
        assertEquals(Optional.of("suffix"), eligibility.inexpressibleField(request, 1));
        listed.clear();
        assertEquals(
                Optional.empty(), eligibility.inexpressibleField(request, 2), "an empty list is no fault of a field");
    }

    /** Nothing is prefilled in a generation that has no engine to stream the answer. */
    @Test
    void aGenerationNeedsActiveEnginesOfBothStages() {
        Engine prefillEngine = engine("fresh-2", PREFILL_KIND);
        EngineBuilder decodeEngine = EngineBuilder.engine("fresh-3").kind(DECODE_KIND);
        listed.set(0, prefillEngine);
        EngineEligibility eligibility = withoutMigration();
        assertFalse(eligibility.isEligible(prefillEngine, request("a"), 0));
        listed.add(decodeEngine.state(Engine.State.LEAVING).build());
        assertFalse(eligibility.isEligible(prefillEngine, request("a"), 1));
        listed.set(2, decodeEngine.state(Engine.State.ACTIVE).build());
        assertTrue(eligibility.isEligible(prefillEngine, request("a"), 2));
    }

    /** A KV cache that an engine of one generation holds can be fetched by one of the same only. */
    @Test
    void aPrefilledRequestIsAnsweredInItsOwnGeneration() {
        EngineEligibility eligibility = withoutMigration();
        RequestConstraints request = request("a");
        request.prefilledBy(Optional.of("new"));
        Engine prefillEngine = engine("box-2", PREFILL_KIND);
        listed.add(prefillEngine);
        assertTrue(eligibility.isEligible(prefillEngine, request, 0), "a further prefill begins anew");
        assertTrue(eligibility.isEligible(NEW_ENGINE, request, 0));
        assertFalse(eligibility.isEligible(OLD_ENGINE, request, 0));
        request.kvCacheLost();
        assertTrue(eligibility.isEligible(OLD_ENGINE, request, 0));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.5, 1})
    void everyGatewayMovesTheSameEngines(double engineFraction) {
        EngineEligibility one = eligibility(oneStage(engineFraction, 1), 1);
        EngineEligibility other = eligibility(oneStage(engineFraction, 1), 99);
        listed.clear();
        for (int i = 0; i < 1000; i++) {
            listed.add(engine("box-" + i, MIXED_KIND));
        }
        one.isEligible(listed.get(0), request("a"), 0);
        other.isEligible(listed.get(0), request("a"), 0);
        int moved = 0;
        for (Engine engine : listed) {
            assertEquals(
                    one.generationOf(engine).orElseThrow().name(),
                    other.generationOf(engine).orElseThrow().name());
            moved += one.generationOf(engine).orElseThrow() == NEW ? 1 : 0;
        }
        assertEquals(engineFraction, moved / 1000.0, 0.0011);
    }

    /** An engine that has just moved is offered to ever more requests, not to all at once. */
    @Test
    void aMovedEngineGetsItsShareStepByStep() {
        EngineEligibility eligibility = eligibility(oneStage(1, 1), 1);
        double[] fractions = new double[3];
        for (int i = 0; i < 3000; i++) {
            RequestConstraints request = request("r" + i);
            for (int sample = 0; sample < 3; sample++) {
                fractions[sample] += eligibility.isEligible(OLD_ENGINE, request, sample * 5.0) ? 1 / 3000.0 : 0;
            }
        }
        assertEquals(0, fractions[0], 0.01);
        assertEquals(0.5, fractions[1], 0.05);
        assertEquals(1, fractions[2], 1e-9);
    }

    @Test
    void tenantsOutsideAStageStayWithTheOldEngines() {
        EngineEligibility eligibility = eligibility(oneStage(1, 0.5), 1);
        int eligible = 0;
        for (int tenant = 0; tenant < 1000; tenant++) {
            RequestConstraints request = new RequestConstraints("r", tenant, true);
            eligible += eligibility.isEligible(OLD_ENGINE, request, 100) ? 1 : 0;
        }
        assertEquals(0.5, eligible / 1000.0, 0.06);
    }
}

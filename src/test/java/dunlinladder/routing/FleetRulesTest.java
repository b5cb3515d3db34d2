package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rules, kept by fleets of gateways in virtual time. */
class FleetRulesTest {

    static RoutingSettings settings(
            int gateways,
            double aim,
            double stop,
            double multiple,
            double tip,
            double cold,
            double from,
            double release) {
        return new RoutingSettings(
                gateways,
                0,
                List.of(
                        new RoutingSettings.ServiceClass(aim, 0.05, 0.05, 0.06, Effect.SAFE, Group.ALL, 5, 1, 0.2),
                        new RoutingSettings.ServiceClass(
                                2 * aim, 0.05, 0.05, 0.06, Effect.UNSAFE, Group.ALL, 5, 3, 0.3)),
                List.of(1e9),
                List.of(Role.PREFILL, Role.DECODE, Role.MIXED),
                List.of(2e5, 2e5, 2e5),
                5,
                false,
                true,
                2,
                false,
                new RoutingSettings.Rules(0.01, stop, multiple, tip, cold, from, release));
    }

    /** Either deployment's figures at each size of fleet, at half and nearly all that readers can do. */
    @ParameterizedTest
    @CsvSource({
        "3, 1.2, 0.5, 3, 1.5, 12, 0.29, 4.5",
        "14, 1.2, 0.5, 3, 1.5, 12, 0.29, 4.5",
        "100, 1.2, 0.5, 3, 1.5, 12, 0.29, 4.5",
        "3, 0.8, 1, 4, 1.5, 14, 0.26, 2",
        "14, 0.8, 1, 4, 1.5, 14, 0.26, 2",
        "100, 0.8, 1, 4, 1.5, 14, 0.26, 2"
    })
    void bothDeploymentsAtEachSize(
            int gateways, double aim, double stop, double multiple, double tip, double cold, double from, double late) {
        for (double load : new double[] {0.5, 0.9}) {
            VirtualFleet fleet = new VirtualFleet(
                            new VirtualFleet.Figures(
                                    settings(gateways, aim, stop, multiple, tip, cold, from, 0.5),
                                    new int[] {6, 7, 2},
                                    load * 6 / (0.1 * 1.4),
                                    0.1,
                                    2,
                                    32,
                                    0.01,
                                    late,
                                    4),
                            gateways)
                    .play(40);
            assertEquals(List.of(), fleet.violations());
            assertTrue(
                    fleet.served > (load < 0.6 ? 0.9 : 0.5) * fleet.requests, fleet.served + " of " + fleet.requests);
        }
    }

    /**
     * A cold engine gets at most its budget of N and 2 x root N + 2 by chance from all gateways together: few of them
     * or many, some with several times the mean, some restarted that know nothing, a third of the engines back at once.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 4, 0.26",
        "3, 4, 0.26",
        "14, 4, 0.26",
        "20, 4, 0.26",
        "30, 4, 0.26",
        "100, 4, 0.26",
        "1, 2, 0.1",
        "3, 2, 0.1",
        "14, 2, 0.1",
        "20, 2, 0.1",
        "30, 2, 0.1",
        "100, 2, 0.1"
    })
    void allTogetherKeepAColdEnginesBudget(int gateways, double multiple, double from) {
        double fullest = 0;
        for (int seed = 1; seed <= 4; seed++) {
            for (double skew : new double[] {1, 2, 4}) {
                VirtualFleet fleet = new VirtualFleet(
                                new VirtualFleet.Figures(
                                        settings(gateways, 0.8, 1, multiple, 1.5, 14, from, 0.5),
                                        new int[] {6, 7, 2},
                                        0.8 * 6 / (0.1 * 1.4),
                                        0.1,
                                        2,
                                        32,
                                        0.01,
                                        1,
                                        1e9),
                                seed)
                        .uneven(skew)
                        .returning(6, 2)
                        .restarting(9.5, 0.5)
                        .play(25);
                assertEquals(List.of(), fleet.violations());
                fullest = Math.max(fullest, fleet.fullest);
            }
        }
        assertTrue(fullest > 0.1, "cold engines got next to nothing: " + fullest);
    }

    /**
     * Nothing fails and no engine leaves. Where there is room and where there is not, the longest prompts get two
     * thirds of what their class gets, and sessions that are never served are hardly more than chance gives.
     */
    @ParameterizedTest
    @CsvSource({"3, 0.7", "14, 0.7", "100, 0.7", "3, 1.3", "14, 1.3", "100, 1.3"})
    void refusalsSingleOutNeitherLongPromptsNorSessions(int gateways, double load) {
        for (int seed = 1; seed <= 3; seed++) {
            VirtualFleet fleet = new VirtualFleet(
                            new VirtualFleet.Figures(
                                    settings(gateways, 0.8, 1, 4, 1.5, 14, 0.26, 0.5),
                                    new int[] {6, 7, 2},
                                    load * 6 / (0.1 * 1.4),
                                    0.1,
                                    2,
                                    32,
                                    0,
                                    1,
                                    1e9),
                            seed)
                    .play(60);
            assertEquals(List.of(), fleet.violations());
            for (int type = 0; type < 2; type++) {
                double[] shares = fleet.sharesOf(type);
                assertTrue(shares[0] > (load < 1 ? 0.95 : 0.3), "of class " + type + " " + shares[0]);
                assertTrue(
                        shares[1] >= shares[0] * 2 / 3,
                        "of the longest of class " + type + " " + shares[1] + ", of all " + shares[0]);
            }
            assertTrue(fleet.shunned() <= 0.12, "shunned " + fleet.shunned());
        }
    }

    /** Whatever the settings say within the protocol's bounds; how much is served is not asked. */
    @Property(tries = 60, seed = "20", shrinking = ShrinkingMode.OFF)
    void whateverTheSettings(
            @ForAll @IntRange(min = 1, max = 40) int gateways,
            @ForAll @DoubleRange(min = 0.2, max = 5) double aim,
            @ForAll @DoubleRange(min = 0.3, max = 2) double stop,
            @ForAll @DoubleRange(min = 0.2, max = 1) double release,
            @ForAll @DoubleRange(min = 0.05, max = 1) double from,
            @ForAll @DoubleRange(min = 2, max = 40) double cold,
            @ForAll @IntRange(min = 0, max = 5) int readers,
            @ForAll @IntRange(min = 0, max = 5) int writers,
            @ForAll @IntRange(min = 1, max = 4) int mixed,
            @ForAll @DoubleRange(min = 0.1, max = 3) double load,
            @ForAll @DoubleRange(min = 0, max = 0.3) double faults,
            @ForAll long seed) {
        double rate = Math.min(150, load * (readers + mixed) / 0.14);
        VirtualFleet fleet = new VirtualFleet(
                        new VirtualFleet.Figures(
                                settings(gateways, aim, stop, 1e9, 1.5, cold, from, release),
                                new int[] {readers, writers, mixed},
                                rate,
                                0.1,
                                1.5,
                                16,
                                faults,
                                3,
                                3),
                        seed)
                .play(15);
        assertEquals(List.of(), fleet.violations());
    }
}

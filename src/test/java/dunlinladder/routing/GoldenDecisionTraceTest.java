package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.routing.RoutingSettings.DeduplicationScope;
import dunlinladder.routing.RoutingSettings.Idempotence;
import dunlinladder.routing.RoutingSettings.Role;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares all actions of the routing policy in fixed simulated fleets with digests. A refactoring that keeps every
 * action and their order keeps the digests; a change of the last bit of a timeout changes them.
 *
 * <p>A digest covers the number of actions and their canonical text. Only {@link #text} writes that text, so renames do
 * not change it. With {@code -Dgolden.dump=DIR} the texts are also written to files in that folder, so that two builds
 * can be compared line by line. A commit that changes decisions on purpose replaces the digests and says so.
 */
class GoldenDecisionTraceTest {

    private static final long[] SEEDS = {11, 12};

    @ParameterizedTest
    @CsvSource({
        "small, 1, " + "9409:d613eafe67fdacb07d02885d0284d80bad9aa60a6418d452d21aac79aca52a52",
        "small, 14, " + "10366:4142402e4f3c931da6f58dc442e0110e8b4d97ba99e64a461643c5b44fd0b7a8",
        "small, 100, " + "9540:cef3401c463be4380216827830df1593dae7050b4c88d4176a79545ce2779144",
        "wide, 1, " + "22938:c57e1c7d43a3a43bf30ac8d6656c371be0a68dea154b2a9af7065947deee71be",
        "wide, 14, " + "23259:8617bfc6f2b5f5afffbb50c6f0226443ff4adc1b0d5f4068563643fd3cd7888e",
        "wide, 100, " + "24795:34f6c014afb5deca37371689028c689dede7f942f0f41c077cefc86b96c86989"
    })
    void decisionsMatchTheDigest(String deployment, int gateways, String expected) throws IOException {
        assertEquals(expected, digest(deployment, gateways));
    }

    static String digest(String deployment, int gateways) throws IOException {
        StringBuilder trace = new StringBuilder();
        int[] actionCount = {0};
        for (long seed : SEEDS) {
            new GoldenFleet(config(deployment, gateways, seed), (gateway, action) -> {
                        actionCount[0]++;
                        trace.append(gateway).append('|').append(text(action)).append('\n');
                    })
                    .run();
        }
        String dumpFolder = System.getProperty("golden.dump");
        if (dumpFolder != null) {
            Files.writeString(Path.of(dumpFolder, deployment + "-" + gateways + ".txt"), trace);
        }
        return actionCount[0] + ":" + sha256(trace.toString());
    }

    /** Returns the canonical text of an action. It must not change, as the digests depend on it. */
    private static String text(RoutingAction action) {
        if (action instanceof RoutingAction.Forward forward) {
            return "send|" + forward.id() + "|" + forward.engine() + "|" + Double.toHexString(forward.timeout());
        } else if (action instanceof RoutingAction.Reject reject) {
            return "refuse|" + reject.id() + "|" + Double.toHexString(reject.retryAfter());
        } else if (action instanceof RoutingAction.Fail fail) {
            return "fail|" + fail.id();
        } else if (action instanceof RoutingAction.ReleaseCache release) {
            return "release|" + release.id();
        } else if (action instanceof RoutingAction.SetTimer timer) {
            return "timer|" + timer.token() + "|" + Double.toHexString(timer.delay());
        }
        return "follow";
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static GoldenFleet.Config config(String deployment, int gateways, long seed) {
        int simulatedGateways = gateways == 1 ? 1 : gateways < 50 ? 3 : 4;
        return deployment.equals("small")
                ? new GoldenFleet.Config(
                        smallSettings(gateways), simulatedGateways, new int[] {6, 7, 3}, 2, 2, 0.1, 1.5, 8, seed)
                : new GoldenFleet.Config(
                        wideSettings(gateways),
                        simulatedGateways,
                        new int[] {9, 5, 6, 3, 5, 2},
                        4,
                        3,
                        0.14,
                        2.5,
                        6,
                        seed);
    }

    /** Returns settings for two zones of two racks, with retry advice, and endpoint changes sent on request only. */
    private static RoutingSettings smallSettings(int gateways) {
        return new RoutingSettings(
                gateways,
                0,
                List.of(
                        serviceClass(0.8, 0.05, 0.05, Idempotence.SAFE, DeduplicationScope.ALL, 5),
                        serviceClass(1.2, 0.05, 0, Idempotence.KEYED, DeduplicationScope.ZONE, 4),
                        serviceClass(1.6, 0, 0.06, Idempotence.UNSAFE, DeduplicationScope.ALL, 5),
                        serviceClass(1.2, 0.1, 0.05, Idempotence.KEYED, DeduplicationScope.CELL, 1)),
                List.of(1e9, 8.0, 0.5),
                List.of(Role.PREFILL, Role.DECODE, Role.MIXED),
                List.of(2e5, 6e4, 4e4),
                5,
                false,
                true,
                2,
                true,
                new RoutingSettings.Rules(0.01, 0.5, 3, 1.5, 12, 0.29, 0.5));
    }

    /**
     * Returns settings for four zones of three racks, with two kinds of prefill engines, one kind without a role in the
     * settings, and little KV memory, which is unknown for two kinds.
     */
    private static RoutingSettings wideSettings(int gateways) {
        return new RoutingSettings(
                gateways,
                1,
                List.of(
                        serviceClass(1.2, 0.04, 0.06, Idempotence.KEYED, DeduplicationScope.ALL, 3),
                        serviceClass(0.9, 0.08, 0.06, Idempotence.SAFE, DeduplicationScope.ZONE, 5),
                        serviceClass(2, 0.04, 0.08, Idempotence.UNSAFE, DeduplicationScope.CELL, 5),
                        serviceClass(1.4, 0.04, 0, Idempotence.KEYED, DeduplicationScope.ZONE, 6)),
                List.of(20.0, 5.0, 1e9, 2.0),
                List.of(Role.PREFILL, Role.DECODE, Role.PREFILL, Role.MIXED, Role.DECODE),
                List.of(1e5, 5e4, 2e5, 3e4),
                4,
                true,
                false,
                1,
                false,
                new RoutingSettings.Rules(0.02, 1, 4, 1, 14, 0.2, 0.8));
    }

    private static RoutingSettings.ServiceClass serviceClass(
            double latencyObjective,
            double perKilotoken,
            double tokenObjective,
            Idempotence idempotence,
            DeduplicationScope deduplicationScope,
            double deduplicationWindow) {
        return new RoutingSettings.ServiceClass(
                latencyObjective,
                perKilotoken,
                0.05,
                tokenObjective,
                idempotence,
                deduplicationScope,
                deduplicationWindow,
                1,
                0.2);
    }
}

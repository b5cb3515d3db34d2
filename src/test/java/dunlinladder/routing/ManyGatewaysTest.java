package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import org.junit.jupiter.api.Test;

/** What holds where gateways are many and each sees little of the load. */
class ManyGatewaysTest {

    /** Hundreds of routers each granting one send at once would push a cold server over. */
    @Test
    void hundredsOfGatewaysShareTheBudgetOfOneEngineInSlowStart() {
        int routers = 100;
        int sent = 0;
        for (int i = 0; i < routers; i++) {
            Fleet fleet = new Fleet()
                    .routers(routers)
                    .with("r0", 0, Role.PREFILL)
                    .with("r1", 0, Role.PREFILL)
                    .with("w0", 0, Role.DECODE)
                    .seed(i);
            fleet.restart("r1").arrive("a" + i);
            fleet.arrive("b" + i);
            sent += (int) fleet.sent.stream()
                    .filter(send -> send.engine().equals("r1"))
                    .count();
        }
        assertTrue(sent <= routers / 4, "sends to the cold prefillEngine: " + sent);
    }

    /** Two routers that cannot talk choose the same reader for a shared beginning that nobody has read. */
    @Test
    void gatewaysAgreeOnThePrefillEngineOfAPrefix() {
        for (long prefix = 1; prefix < 6; prefix++) {
            Fleet one = Fleet.pair().seed(1);
            Fleet two = Fleet.pair().seed(99);
            one.shared("a", prefix);
            two.shared("b", prefix);
            assertEquals(one.lastSend().engine(), two.lastSend().engine());
        }
    }

    /** One of a hundred routers, just started, before thirty cells of a reader and a writer each. */
    private static Fleet manyRouters() {
        Fleet fleet = new Fleet().routers(100);
        for (int k = 0; k < 30; k++) {
            fleet.with("r" + k, k, Role.PREFILL).with("w" + k, k, Role.DECODE);
        }
        return fleet.restartRouter();
    }

    /** Many routers, each server met once: what the role takes now tells of a jam, not each server's past. */
    @Test
    void saturationIsKnownFromTheLatestResponsesOfTheRole() {
        Fleet fleet = manyRouters();
        for (int i = 0; i < 30; i++) {
            fleet.arrive("a" + i);
            fleet.run(0.05);
            fleet.serve("a" + i);
        }
        long refused = 0;
        for (int i = 0; i < 8 && refused == 0; i++) {
            fleet.request("b" + i, i);
            refused = fleet.finals("b" + i);
            fleet.run(refused == 0 ? 1.5 : 0);
            if (refused == 0) {
                fleet.serve("b" + i);
            }
        }
        assertEquals(1, refused, "refused: the aim cannot be met");
    }

    /**
     * The engines' calm day: after all readers had lost what they kept, each beginning was read anew. By many routers
     * that was taken for a slow role, and short requests were refused as well.
     */
    @Test
    void prefixMissesAreNotTakenForSlownessAmongManyGateways() {
        Fleet fleet = manyRouters();
        for (int i = 0; i < 12; i++) {
            fleet.opening("a" + i, 100 + i, 8000);
            assertEquals(0, fleet.finals("a" + i), "refused, the " + i + "th");
            fleet.run(0.4);
            fleet.outcome("a" + i, Status.PREFILLED);
            fleet.run(0.02);
            fleet.first("a" + i);
            fleet.outcome("a" + i, Status.OK);
        }
        fleet.request("short", 1);
        assertEquals(0, fleet.finals("short"));
    }

    /** Incident i52e765: hundreds of routers trying a jammed role every other second kept it jammed. */
    @Test
    void saturatedRoleIsProbedSeldomByManyGateways() {
        Fleet fleet = manyRouters();
        for (int i = 0; i < 7; i++) {
            fleet.request("a" + i, i);
        }
        fleet.run(4);
        for (int i = 0; i < 7; i++) {
            fleet.outcome("a" + i, Status.TIMEOUT, 0, true);
        }
        int before = fleet.sends();
        for (int i = 0; i < 8; i++) {
            fleet.run(0.5);
            fleet.request("b" + i, i);
        }
        assertEquals(before, fleet.sends(), "nothing within four seconds of the last news");
        fleet.run(2);
        fleet.request("c", 1);
        assertEquals(before + 1, fleet.sends(), "then one is tried");
    }

    /** Day h86dace: readers idle again after a rack's restart, yet old answers refused for half a minute. */
    @Test
    void successfulProbeOpensASaturatedRoleAgain() {
        Fleet fleet = manyRouters();
        for (int i = 0; i < 7; i++) {
            fleet.request("a" + i, i);
        }
        fleet.run(4);
        for (int i = 0; i < 7; i++) {
            fleet.outcome("a" + i, Status.TIMEOUT, 0, true);
        }
        fleet.run(7);
        fleet.request("b", 1);
        fleet.run(0.05);
        fleet.serve("b");
        fleet.request("c", 2);
        assertEquals(0, fleet.finals("c"), "one good trial says that the jam has gone");
    }

    /** Many routers, and a cell with five readers and one writer: its surplus goes to spare writers. */
    @Test
    void cellsWithFewDecodeEnginesPassOnTheirSurplus() {
        int home = 0;
        int reads = 0;
        for (int i = 0; i < 200; i++) {
            Fleet fleet = new Fleet().routers(100).with("w0", 0, Role.DECODE).with("r9", 1, Role.PREFILL);
            for (int k = 0; k < 5; k++) {
                fleet.with("r" + k, 0, Role.PREFILL).with("w" + (k + 1), 1, Role.DECODE);
            }
            fleet.seed(i).arrive("a" + i);
            if (!fleet.lastSend().engine().equals("r9")) {
                reads++;
                fleet.outcome("a" + i, Status.PREFILLED);
                home += fleet.lastSend().engine().equals("w0") ? 1 : 0;
            }
        }
        assertTrue(home > 0 && home < reads / 2, home + " of " + reads + " on the cell's one decodeEngine");
    }

    /** Many routers with the same popular beginning must not all send it to one reader. */
    @Test
    void popularPrefixIsSpreadAlikeByAllGateways() {
        java.util.Map<String, Integer> counts = new java.util.TreeMap<>();
        for (int i = 0; i < 50; i++) {
            Fleet fleet = new Fleet().routers(100);
            for (int k = 0; k < 10; k++) {
                fleet.with("r" + k, k, Role.PREFILL).with("w" + k, k, Role.DECODE);
            }
            fleet.seed(i);
            for (int k = 0; k < 20; k++) {
                fleet.shared(i + "-" + k, 7);
                fleet.run(0.05);
                fleet.serve(i + "-" + k);
            }
            fleet.shared("z" + i, 7);
            counts.merge(fleet.lastSend().engine(), 1, Integer::sum);
        }
        assertTrue(counts.size() > 5 && counts.values().stream().allMatch(n -> n < 25), counts.toString());
    }

    /** After a router's restart a cached list may be stale; a cold server is still started gently. */
    @Test
    void restartedGatewayKeepsToTheSlowStartBudget() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("r1", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .listed();
        fleet.restart("r0").restart("r1").restartRouter();
        int before = fleet.sends();
        for (int i = 0; i < 30; i++) {
            fleet.request("a" + i, i);
        }
        assertEquals(2, fleet.sends() - before);
    }

    /**
     * Six in ten readers are replaced and the others jam: fourteen routers, each of which has yet to hear of the cold
     * ones, must not refuse for the jam while these stand idle.
     */
    @Test
    void warmingPrefillEnginesWithoutSamplesRelieveSaturatedOnes() {
        int cold = 0;
        int refused = 0;
        for (int router = 0; router < 14; router++) {
            Fleet fleet = new Fleet().routers(14);
            for (int k = 0; k < 10; k++) {
                fleet.with("r" + k, 0, Role.PREFILL).with("w" + k, 0, Role.DECODE);
            }
            fleet.seed(router);
            for (int i = 0; i < 80; i++) {
                fleet.shared("a" + i, i % 20);
                fleet.run(0.2);
                fleet.serve("a" + i);
            }
            for (int k = 4; k < 10; k++) {
                fleet.restart("r" + k);
            }
            fleet.run(4);
            for (int i = 0; i < 8; i++) {
                // What goes to a warm reader takes over a second, several times the usual.
                fleet.shared("b" + i, i);
                boolean sent = fleet.finals("b" + i) == 0;
                boolean warm = sent && fleet.lastSend().engine().compareTo("r4") < 0;
                refused += sent ? 0 : 1;
                cold += sent && !warm ? 1 : 0;
                fleet.run(warm ? 1.2 : 0.2);
                if (sent) {
                    fleet.serve("b" + i);
                }
            }
        }
        assertTrue(cold > 14 && refused < 14, cold + " at cold readers, " + refused + " refused, of 112");
    }
}

package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The module on hand-made events: the ordinary path, the rules, each outcome at each stage. */
class RoutingPolicyTest {

    private static final String NEAR_READER = "r0";
    private static final String FAR_READER = "r1";

    private static Fleet pair() {
        return new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("r1", 1, Role.PREFILL)
                .with("w1", 1, Role.DECODE)
                .listed();
    }

    @Test
    void readsThenPullsInTheReadersCell() {
        Fleet fleet = pair();
        String prefillEngine = fleet.arrive("a").engine();
        fleet.outcome("a", Status.PREFILLED);
        assertEquals(prefillEngine.replace('r', 'w'), fleet.lastSend().engine());
        fleet.first("a");
        fleet.outcome("a", Status.OK);
        assertEquals(0, fleet.finals("a"));
    }

    @Test
    void spreadsReadsByOwnCount() {
        Fleet fleet = pair();
        String first = fleet.arrive("a").engine();
        assertFalse(first.equals(fleet.arrive("b").engine()));
    }

    @Test
    void keptSessionIsPreferredWhenNotClearlyBusier() {
        Fleet fleet = pair();
        String prefillEngine = fleet.arrive("a", 7).engine();
        fleet.serve("a");
        for (int i = 0; i < 5; i++) {
            assertEquals(prefillEngine, fleet.arrive("b" + i, 7).engine());
            fleet.serve("b" + i);
        }
    }

    /** Turns of sessions that a reader keeps cost next to nothing there, elsewhere a whole prompt each. */
    @Test
    void sessionsStayWithTheReaderThatKeepsTheirTurns() {
        Fleet fleet = pair();
        List<Integer> kept = new ArrayList<>();
        for (int i = 0; kept.size() < 7; i++) {
            if (fleet.arrive("a" + i, i).engine().equals("r0")) {
                kept.add(i);
            }
            fleet.serve("a" + i);
        }
        for (int session : kept) {
            assertEquals("r0", fleet.arrive("b" + session, session).engine());
        }
    }

    /** Where a beginning was not found kept, its reads count as they cost: the other reader takes some. */
    @Test
    void whatIsNotFoundKeptIsNotCountedOn() {
        Fleet fleet = pair();
        for (int i = 0; i < 40; i++) {
            fleet.shared("a" + i, 9);
            fleet.serve("a" + i);
        }
        fleet.shared("b", 9);
        String prefillEngine = fleet.lastSend().engine();
        int same = 0;
        for (int i = 0; i < 4; i++) {
            fleet.shared("c" + i, 9);
            same += fleet.lastSend().engine().equals(prefillEngine) ? 1 : 0;
        }
        assertTrue(same < 3, "at the same prefillEngine: " + same);
    }

    /** A writer whose memory is full sends answers back to its queue: one with a stream more is better. */
    @Test
    void fullWriterIsPassedOver() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("w1", 0, Role.DECODE)
                .listed();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        String full = fleet.lastSend().engine();
        fleet.first("a");
        fleet.arrive("b");
        fleet.outcome("b", Status.PREFILLED);
        assertFalse(full.equals(fleet.lastSend().engine()));
        fleet.first("b");
        fleet.reported("a", Status.OK, Map.of("x0", 0.97, "x1", 0.0));
        fleet.arrive("c");
        fleet.outcome("c", Status.PREFILLED);
        assertFalse(full.equals(fleet.lastSend().engine()));
    }

    /** While the readers are behind, a mixed server that is not takes requests, its share or not. */
    @Test
    void mixedServerHelpsJammedReaders() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("m0", 0, Role.MIXED)
                .listed();
        assertEquals("r0", fleet.arrive("a").engine());
        fleet.run(0.4);
        assertEquals("m0", fleet.arrive("b").engine());
    }

    /** What a mixed server reads slows its streams: once they last much longer than others it gets none. */
    @Test
    void mixedServerWhoseStreamsLagGetsNoMore() {
        for (double lasting : new double[] {0.2, 2}) {
            Fleet fleet = new Fleet()
                    .with("r0", 0, Role.PREFILL)
                    .with("w0", 0, Role.DECODE)
                    .with("m0", 0, Role.MIXED)
                    .listed();
            int[] whole = new int[2];
            for (int i = 0; i < 60; i++) {
                String id = "a" + i;
                boolean mixed = fleet.arrive(id).engine().equals("m0");
                if (!mixed) {
                    fleet.outcome(id, Status.PREFILLED);
                }
                fleet.first(id);
                whole[i / 30] += mixed ? 1 : 0;
                fleet.run(0.02);
                if (i >= 9 && i % 10 == 9) { // ten streams end together, those of the mixed server last
                    for (int j = i - 9; j <= i; j++) {
                        if (!fleet.engine("a" + j).equals("m0")) {
                            fleet.outcome("a" + j, Status.OK);
                        }
                    }
                    fleet.run(lasting - 0.2);
                    for (int j = i - 9; j <= i; j++) {
                        if (fleet.engine("a" + j).equals("m0")) {
                            fleet.outcome("a" + j, Status.OK);
                        }
                    }
                }
            }
            assertTrue(whole[0] > 0, "streams that last " + lasting);
            assertEquals(lasting < 1, whole[1] > 0, "streams that last " + lasting + ", whole: " + whole[1]);
        }
    }

    /** Of three readers two cannot be reached: that says nothing of the third, which gets all but trials. */
    @Test
    void unreachableServersStayBarredHoweverMany() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("r1", 0, Role.PREFILL)
                .with("r2", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .listed();
        int failed = 0;
        for (int i = 0; i < 40; i++) {
            fleet.arrive("a" + i);
            while (!fleet.lastSend().engine().equals("r0") && fleet.finals("a" + i) == 0) {
                fleet.outcome("a" + i, Status.CONNECT_FAILED);
                failed++;
            }
            fleet.run(0.01);
        }
        assertTrue(failed <= 6, "failed to connect: " + failed);
    }

    /** What was sent lately is dropped as more is sent, whether or not anybody asks for it. */
    @Test
    void whatWasSentLatelyIsBounded() {
        EngineState decodeEngine = new EngineState("w0");
        for (int i = 0; i < 100; i++) {
            decodeEngine.streamSent(new AttemptState(null, i, decodeEngine, AttemptState.Stage.DECODE, i));
        }
        assertEquals(4, decodeEngine.streamsSinceReport.size());
    }

    /** What was kept of an engine goes with it: it would grow with every engine that is replaced. */
    @Test
    void enginesThatLeftAreForgotten() {
        Fleet fleet = pair();
        fleet.serve(fleet.arrive("a", 7).id());
        fleet.shared("b", 8);
        fleet.serve("b");
        fleet.leave("r0").leave("r1").leave("w0");
        assertEquals("1 0 0", fleet.remembered());
        Fleet relisted = pair().without("r0").listed();
        assertEquals("3 0 0", relisted.remembered());
    }

    /** Six in ten of sixty engines are replaced again and again under new ids: nothing is kept of the old. */
    @Test
    void whatIsKnownIsBoundedByTheEnginesThatLive() {
        Fleet fleet = new Fleet().routers(14);
        for (int i = 0; i < 60; i++) {
            fleet.with("e0-" + i, i % 12, Role.values()[i % 3]);
        }
        fleet.seed(1);
        for (int round = 1; round < 20; round++) {
            fleet.shared("a" + round, round);
            for (int i = 0; i < 36; i++) {
                fleet.leave("e" + (round - 1) + "-" + i)
                        .without("e" + (round - 1) + "-" + i)
                        .with("e" + round + "-" + i, i % 12, Role.values()[i % 3]);
            }
            fleet.listed();
            assertTrue(fleet.remembered().startsWith("60 "), fleet.remembered());
        }
    }

    @Test
    void mixedServerTakesItsShareWhole() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("m0", 0, Role.MIXED)
                .listed();
        int whole = 0;
        for (int i = 0; i < 20; i++) {
            boolean mixed = fleet.arrive("a" + i).engine().equals("m0");
            whole += mixed ? 1 : 0;
            if (!mixed) {
                fleet.outcome("a" + i, Status.PREFILLED);
            }
        }
        assertTrue(whole > 3 && whole < 12, "whole: " + whole);
    }

    @Test
    void writerFailureBeforeTheFetchTriesAnotherWriterWithTheSameState() {
        for (Status status : List.of(
                Status.FULL, Status.CONNECT_FAILED, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = pair();
            fleet.arrive("a");
            fleet.outcome("a", Status.PREFILLED);
            String decodeEngine = fleet.lastSend().engine();
            fleet.outcome("a", status);
            assertEquals(
                    decodeEngine.equals("w0") ? "w1" : "w0", fleet.lastSend().engine(), status.name());
        }
    }

    @Test
    void lostStateIsReleasedAndReadAgain() {
        Fleet fleet = pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.outcome("a", Status.FULL, 1, false);
        assertEquals(1, fleet.releases("a"), "a cut-off prefillEngine still holds it");
        assertTrue(fleet.lastSend().engine().startsWith("r"));
    }

    @Test
    void readerFailureTriesTheOtherReader() {
        for (Status status : List.of(
                Status.FULL, Status.CONNECT_FAILED, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = pair();
            String prefillEngine = fleet.arrive("a").engine();
            fleet.outcome("a", status);
            assertEquals(
                    prefillEngine.equals(NEAR_READER) ? FAR_READER : NEAR_READER,
                    fleet.lastSend().engine());
        }
    }

    @Test
    void drainedServerGetsNothing() {
        Fleet fleet = pair().drain("r0").drain("w0");
        for (int i = 0; i < 8; i++) {
            assertEquals("r1", fleet.arrive("a" + i).engine());
            fleet.outcome("a" + i, Status.PREFILLED);
            assertEquals("w1", fleet.lastSend().engine());
        }
    }

    @Test
    void withoutServersARequestWaitsThenIsAnsweredInTime() {
        Fleet fleet = new Fleet().listed();
        fleet.request("a", 1);
        fleet.run(5.5);
        assertEquals(1, fleet.finals("a"));
        assertTrue(fleet.finalAt("a") < 5);
    }

    @Test
    void waitingRequestGoesOutWhenAServerAppears() {
        Fleet fleet = new Fleet().listed();
        fleet.request("a", 1);
        fleet.run(1);
        fleet.with("r0", 0, Role.PREFILL).listed();
        assertEquals("r0", fleet.lastSend().engine());
    }

    @Test
    void heldStateIsReleasedInTimeWhenNoWriterIsReady() {
        Fleet fleet = new Fleet().with("r0", 0, Role.PREFILL).listed();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.run(fleet.settings.rules().releaseWithin());
        assertEquals(1, fleet.releases("a"));
    }

    /** Advice on a refusal follows the wait and keeps within its bound, which is 1 s here. */
    @Test
    void adviceFollowsTheWait() {
        for (double wait : new double[] {Double.NaN, 0, 0.1, 0.4, 5, Double.POSITIVE_INFINITY}) {
            double known = wait > 0.1 ? wait : 0.1;
            for (double chance : new double[] {0, 0.5, 0.99}) {
                assertEquals(
                        Math.min(1, known * (0.5 + chance)),
                        AdmissionControl.retryAfter(wait, Fleet.settings(Effect.SAFE, Group.ALL), chance));
            }
        }
    }

    /** Those refused together are not asked to come again together. */
    @Test
    void adviceDiffersFromOneToTheNext() {
        Fleet fleet = new Fleet().advising();
        fleet.arrive("a");
        fleet.arrive("b");
        fleet.run(6);
        List<Double> advice = fleet.all.stream()
                .filter(RoutingAction.Reject.class::isInstance)
                .map(each -> ((RoutingAction.Reject) each).retryAfter())
                .distinct()
                .toList();
        assertEquals(2, advice.size());
        assertTrue(advice.stream().allMatch(each -> each >= 0.05 && each <= 0.15), advice::toString);
    }

    /** On sockets the time runs on while connections fail to come up: two that time out use most of it. */
    @Test
    void aStateWhoseWritersCannotBeReachedIsLetGo() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("w1", 0, Role.DECODE)
                .with("w2", 0, Role.DECODE)
                .listed();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.run(0.25);
        fleet.outcome("a", Status.CONNECT_FAILED);
        assertEquals(0, fleet.releases("a"));
        fleet.run(0.25);
        fleet.outcome("a", Status.CONNECT_FAILED);
        assertEquals(1, fleet.releases("a"));
    }

    /** A link is cut after the read: the reader holds a state that nobody was told of. */
    @Test
    void stateOfALostReadIsReleasedInTime() {
        Fleet fleet = new Fleet().with("r0", 0, Role.PREFILL).listed();
        fleet.arrive("a");
        fleet.drain("r0");
        fleet.outcome("a", Status.RESET);
        fleet.run(fleet.settings.rules().releaseWithin());
        assertEquals(1, fleet.releases("a"));
    }

    /** Hundreds of routers each granting one send at once would push a cold server over. */
    @Test
    void hundredsOfRoutersShareOneColdServer() {
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

    @Test
    void unsafeRequestThatMightHaveRunFailsWithoutARepeat() {
        for (Status status : List.of(Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = pair().type(Effect.UNSAFE, Group.ALL);
            fleet.arrive("a");
            fleet.outcome("a", Status.PREFILLED);
            int sends = fleet.sends();
            fleet.outcome("a", status);
            fleet.run(5.5);
            assertEquals(1, fleet.fails("a"), status.name());
            assertEquals(sends, fleet.sendsToWriters(sends), status.name());
        }
    }

    @Test
    void keyedRequestStaysInItsGroup() {
        Fleet fleet = pair().with("v0", 0, Role.DECODE).listed().type(Effect.KEYED, Group.CELL);
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        int cell = fleet.cell(fleet.lastSend().engine());
        int sends = fleet.sends();
        fleet.outcome("a", Status.RESET);
        fleet.run(1);
        for (RoutingAction.Forward send : fleet.sent.subList(sends, fleet.sends())) {
            assertTrue(send.engine().startsWith("r") || fleet.cell(send.engine()) == cell);
        }
    }

    @Test
    void lateOutcomeAfterTheClientLeftReleasesTheState() {
        Fleet fleet = pair();
        fleet.arrive("a");
        fleet.gone("a");
        fleet.outcome("a", Status.PREFILLED, 0, true);
        assertEquals(1, fleet.releases("a"));
        assertEquals(1, fleet.sends());
    }

    @Test
    void leavingClientFreesAWaitingState() {
        Fleet fleet = new Fleet().with("r0", 0, Role.PREFILL).listed();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.gone("a");
        assertEquals(1, fleet.releases("a"));
        fleet.run(6);
        assertEquals(0, fleet.finals("a"));
    }

    @Test
    void unknownIdsAreIgnored() {
        Fleet fleet = pair();
        fleet.gone("x");
        fleet.handle(new RoutingEvent.FirstTokenReceived("x", 0, "r0", 0.1));
        fleet.handle(new RoutingEvent.AttemptEnded("x", 0, "r0", Status.OK, 0.1, true, 0, java.util.Map.of()));
        assertEquals(0, fleet.sends());
    }

    @Test
    void coldServerGetsOnlyItsBudget() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("r1", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .listed();
        fleet.run(1);
        fleet.restart("r1");
        for (int i = 0; i < 200; i++) {
            fleet.request("a" + i, i);
        }
        long cold =
                fleet.sent.stream().filter(send -> send.engine().equals("r1")).count();
        assertTrue(cold < 4, "sends to the cold prefillEngine: " + cold);
    }

    @Test
    void silentReaderIsLeftForTheOthers() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("r1", 0, Role.PREFILL)
                .with("r2", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .listed();
        for (int i = 0; i < 30; i++) {
            fleet.arrive("a" + i);
            if (!fleet.lastSend().engine().equals("r0")) {
                fleet.run(0.05);
                fleet.serve("a" + i);
            }
        }
        fleet.run(1);
        int before = fleet.sends();
        for (int i = 0; i < 10; i++) {
            fleet.arrive("b" + i);
        }
        assertTrue(fleet.sent.subList(before, fleet.sends()).stream()
                .noneMatch(send -> send.engine().equals("r0")));
    }

    @Test
    void failedListCallIsTriedAgain() {
        Fleet fleet = pair();
        fleet.handle(new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.FAILED, List.of()));
        fleet.run(3);
        assertTrue(fleet.all.stream().anyMatch(action -> action instanceof RoutingAction.WatchEndpoints));
    }

    @Test
    void sameEventsGiveSameActions() {
        assertEquals(trace(), trace());
    }

    private static List<RoutingAction> trace() {
        Fleet fleet = pair();
        for (int i = 0; i < 40; i++) {
            if (fleet.arrive("a" + i) != null) {
                fleet.outcome("a" + i, i % 3 == 0 ? Status.ERROR : Status.PREFILLED);
            }
            fleet.run(0.03);
        }
        return fleet.all;
    }

    /** All readers silent, then well: refusing on old news kept everything refused for good. */
    @Test
    void oldNewsDoesNotRefuseForGood() {
        Fleet fleet = pair();
        for (int i = 0; i < 4; i++) {
            fleet.arrive("a" + i);
        }
        fleet.run(4.9);
        for (int i = 0; i < 4; i++) {
            fleet.outcome("a" + i, Status.TIMEOUT);
            fleet.gone("a" + i);
        }
        fleet.drainAttempts();
        int before = fleet.sends();
        for (int i = 0; i < 10; i++) {
            fleet.run(1);
            fleet.request("b" + i, i);
        }
        assertTrue(fleet.sends() > before, "something is tried again");
    }

    /** A jam: what would only be late is refused at once and leaves room for the rest. */
    @Test
    void newRequestsAreRefusedWhenTheWaitPassesTheAim() {
        Fleet fleet = pair();
        for (int i = 0; i < 20; i++) {
            fleet.arrive("a" + i);
            fleet.run(0.05);
            fleet.serve("a" + i);
        }
        for (int i = 0; i < 40; i++) {
            fleet.arrive("b" + i);
        }
        fleet.run(3);
        fleet.request("c", 1);
        assertEquals(1, fleet.finals("c"));
    }

    /** Two routers that cannot talk choose the same reader for a shared beginning that nobody has read. */
    @Test
    void routersAgreeOnTheReaderOfABeginning() {
        for (long prefix = 1; prefix < 6; prefix++) {
            Fleet one = pair().seed(1);
            Fleet two = pair().seed(99);
            one.shared("a", prefix);
            two.shared("b", prefix);
            assertEquals(one.lastSend().engine(), two.lastSend().engine());
        }
    }

    /** A cell with many readers and few writers must not leave another cell's writers idle. */
    @Test
    void clearlyLessLoadedWriterElsewhereIsTaken() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("w1", 1, Role.DECODE)
                .listed();
        boolean elsewhere = false;
        for (int i = 0; i < 12; i++) {
            fleet.arrive("a" + i);
            fleet.run(0.05);
            fleet.outcome("a" + i, Status.PREFILLED);
            elsewhere |= fleet.lastSend().engine().equals("w1");
            fleet.first("a" + i);
            assertTrue(i > 0 || !elsewhere, "the first one stays in the cell");
        }
        assertTrue(elsewhere);
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
    void jamIsKnownFromTheRolesLatestAnswers() {
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
    void whatIsReadAnewIsNoSlownessWhereRoutersAreMany() {
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
    void jammedRoleIsTriedSeldomByManyRouters() {
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
    void goodTrialOpensAJammedRoleAgain() {
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
    void cellsWithFewWritersPassOnTheirSurplus() {
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
    void popularBeginningIsSpreadTheSameAtAllRouters() {
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
    void restartedRouterKeepsToTheColdBudget() {
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

    /** A server that errs at once clears its count first; it must not draw the traffic. */
    @Test
    void failingServerDrawsNoMoreThanItsPeers() {
        Fleet fleet = new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("r1", 0, Role.PREFILL)
                .with("r2", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .listed();
        int erring = 0;
        for (int i = 0; i < 30; i++) {
            fleet.arrive("a" + i);
            fleet.run(0.05);
            for (int tries = 0; tries < 3 && fleet.lastSend().engine().equals("r0"); tries++) {
                erring++;
                fleet.outcome("a" + i, Status.ERROR);
            }
            fleet.serve("a" + i);
        }
        assertTrue(erring <= 6, "sends to the erring prefillEngine: " + erring);
    }

    /**
     * Six in ten readers are replaced and the others jam: fourteen routers, each of which has yet to hear of the cold
     * ones, must not refuse for the jam while these stand idle.
     */
    @Test
    void coldReadersNotYetHeardOfTakeWhatWaitsAtTheWarmOnes() {
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

    /** Every router tries a failing engine now and then: not with what is lost if it fails once more. */
    @Test
    void trialsOfAFailingEngineGoToWhatMayBeRepeated() {
        int safe = sentToAFailingEngine(Effect.SAFE);
        int unsafe = sentToAFailingEngine(Effect.UNSAFE);
        assertTrue(unsafe >= 2 && unsafe < safe, unsafe + " listings, " + safe + " lookups");
    }

    private static int sentToAFailingEngine(Effect effect) {
        Fleet fleet = new Fleet()
                .type(effect, Group.ALL)
                .routers(14)
                .with("r0", 0, Role.PREFILL)
                .with("m0", 0, Role.MIXED)
                .with("m1", 0, Role.MIXED)
                .with("m2", 0, Role.MIXED)
                .seed(1);
        int failing = 0;
        for (int i = 0; i < 400; i++) {
            fleet.arrive("a" + i);
            if (fleet.lastSend().engine().startsWith("r")) {
                fleet.outcome("a" + i, Status.PREFILLED);
            }
            if (fleet.lastSend().engine().equals("m0")) {
                failing++;
                fleet.outcome("a" + i, Status.ERROR, 0, true);
            } else {
                fleet.run(0.05);
                fleet.first("a" + i);
                fleet.outcome("a" + i, Status.OK);
            }
            fleet.run(0.15);
        }
        return failing;
    }
}

package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What becomes of a request and of its KV cache, whatever fails on its way. */
class RequestLifeCycleTest {

    private static final String NEAR_READER = "r0";
    private static final String FAR_READER = "r1";

    /** A writer whose memory is full sends answers back to its queue: one with a stream more is better. */
    @Test
    void decodeEngineWithoutMemoryIsPassedOver() {
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

    @Test
    void decodeFailureBeforeTheFetchRetriesElsewhereWithTheSameCache() {
        for (Status status : List.of(
                Status.FULL, Status.CONNECT_FAILED, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = Fleet.pair();
            fleet.arrive("a");
            fleet.outcome("a", Status.PREFILLED);
            String decodeEngine = fleet.lastSend().engine();
            fleet.outcome("a", status);
            assertEquals(
                    decodeEngine.equals("w0") ? "w1" : "w0", fleet.lastSend().engine(), status.name());
        }
    }

    @Test
    void lostCacheIsReleasedAndPrefilledAgain() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.outcome("a", Status.FULL, 1, false);
        assertEquals(1, fleet.releases("a"), "a cut-off prefillEngine still holds it");
        assertTrue(fleet.lastSend().engine().startsWith("r"));
    }

    @Test
    void prefillFailureRetriesOnTheOtherEngine() {
        for (Status status : List.of(
                Status.FULL, Status.CONNECT_FAILED, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = Fleet.pair();
            String prefillEngine = fleet.arrive("a").engine();
            fleet.outcome("a", status);
            assertEquals(
                    prefillEngine.equals(NEAR_READER) ? FAR_READER : NEAR_READER,
                    fleet.lastSend().engine());
        }
    }

    @Test
    void withoutEnginesARequestWaitsThenIsAnsweredInTime() {
        Fleet fleet = new Fleet().listed();
        fleet.request("a", 1);
        fleet.run(5.5);
        assertEquals(1, fleet.finals("a"));
        assertTrue(fleet.finalAt("a") < 5);
    }

    @Test
    void waitingRequestIsForwardedWhenAnEngineAppears() {
        Fleet fleet = new Fleet().listed();
        fleet.request("a", 1);
        fleet.run(1);
        fleet.with("r0", 0, Role.PREFILL).listed();
        assertEquals("r0", fleet.lastSend().engine());
    }

    @Test
    void heldCacheIsReleasedInTimeWhenNoDecodeEngineIsReady() {
        Fleet fleet = new Fleet().with("r0", 0, Role.PREFILL).listed();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.run(fleet.settings.rules().releaseWithin());
        assertEquals(1, fleet.releases("a"));
    }

    /** On sockets the time runs on while connections fail to come up: two that time out use most of it. */
    @Test
    void cacheIsReleasedWhenItsDecodeEnginesAreUnreachable() {
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

    /** The attempt may have arrived before the release, and has kept the KV cache then: its end releases once more. */
    @Test
    void cacheIsReleasedBehindADecodeAttemptThatMayNotHaveArrivedAndAtItsEnd() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        String silent = fleet.lastSend().engine();
        fleet.confirmationOverdue("a");
        assertEquals(1, fleet.releases("a"));
        fleet.outcome("a", Status.TIMEOUT);
        assertEquals(2, fleet.releases("a"));
        assertTrue(fleet.lastSend().engine().startsWith("r"), "the KV cache is gone, so it is prefilled again");
        fleet.outcome("a", Status.PREFILLED);
        assertFalse(silent.equals(fleet.lastSend().engine()));
    }

    @Test
    void cacheIsNotReleasedBehindAStream() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.first("a");
        fleet.confirmationOverdue("a");
        assertEquals(0, fleet.releases("a"));
    }

    /** A prefill whose answer was lost may have left a KV cache, and the next one does not arrive. */
    @Test
    void cacheOfALostPrefillIsReleasedBehindTheNextOneAndTheNextOnesOwnLater() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.TIMEOUT);
        fleet.confirmationOverdue("a");
        assertEquals(1, fleet.releases("a"));
        fleet.gone("a");
        fleet.outcome("a", Status.CANCELLED, 0, true);
        assertEquals(2, fleet.releases("a"));
    }

    /** What arrives behind the release finds nothing to fetch: it has not run, and an unsafe request may go on. */
    @Test
    void unsafeRequestGoesOnWhenItArrivesBehindItsRelease() {
        Fleet fleet = Fleet.pair().type(Effect.UNSAFE, Group.ALL);
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.confirmationOverdue("a");
        int sends = fleet.sends();
        fleet.run(2);
        assertEquals(sends, fleet.sends(), "it may still run where it was sent");
        fleet.outcome("a", Status.FULL, 1, false);
        assertEquals(1, fleet.releases("a"));
        assertTrue(fleet.lastSend().engine().startsWith("r"));
        fleet.serve("a");
        assertEquals(0, fleet.finals("a"));
    }

    /** Attempts that never arrived do not begin the time of the KV cache anew. */
    @Test
    void timeOfTheCacheRunsOnThroughAttemptsThatDidNotArrive() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.outcome("a", Status.PREFILLED);
        fleet.run(0.2);
        fleet.notArrived("a", Status.TIMEOUT);
        assertEquals(0, fleet.releases("a"));
        fleet.run(0.25);
        fleet.notArrived("a", Status.RESET);
        assertEquals(1, fleet.releases("a"));
    }

    /** A link is cut after the read: the reader holds a state that nobody was told of. */
    @Test
    void cacheOfALostPrefillIsReleasedInTime() {
        Fleet fleet = new Fleet().with("r0", 0, Role.PREFILL).listed();
        fleet.arrive("a");
        fleet.drain("r0");
        fleet.outcome("a", Status.RESET);
        fleet.run(fleet.settings.rules().releaseWithin());
        assertEquals(1, fleet.releases("a"));
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsWithoutARetry() {
        for (Status status : List.of(Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)) {
            Fleet fleet = Fleet.pair().type(Effect.UNSAFE, Group.ALL);
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
    void keyedRequestStaysInItsDeduplicationGroup() {
        Fleet fleet = Fleet.pair().with("v0", 0, Role.DECODE).listed().type(Effect.KEYED, Group.CELL);
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
    void lateOutcomeAfterADisconnectReleasesTheCache() {
        Fleet fleet = Fleet.pair();
        fleet.arrive("a");
        fleet.gone("a");
        fleet.outcome("a", Status.PREFILLED, 0, true);
        assertEquals(1, fleet.releases("a"));
        assertEquals(1, fleet.sends());
    }

    @Test
    void disconnectReleasesAWaitingCache() {
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
        Fleet fleet = Fleet.pair();
        fleet.gone("x");
        fleet.handle(new RoutingEvent.FirstTokenReceived("x", 0, "r0", 0.1));
        fleet.handle(new RoutingEvent.AttemptEnded("x", 0, "r0", Status.OK, 0.1, true, 0, Map.of(), true));
        assertEquals(0, fleet.sends());
    }
}

package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When requests are rejected for load, and when their clients are asked to come again. */
class LoadSheddingTest {

    /** Advice on a refusal follows the wait and keeps within its bound, which is 1 s here. */
    @Test
    void retryAfterFollowsTheExpectedWait() {
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
    void retryAfterIsJittered() {
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

    /** All readers silent, then well: refusing on old news kept everything refused for good. */
    @Test
    void staleStatisticsDoNotRejectForGood() {
        Fleet fleet = Fleet.pair();
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
    void newRequestsAreRejectedWhenTheWaitExceedsTheObjective() {
        Fleet fleet = Fleet.pair();
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
}

package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Engine;
import dunlinladder.core.Instruments;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Request;
import dunlinladder.core.RequestBuilder;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.RoutingDecision;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What becomes of a request that comes while the process itself is behind. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BlockingRequestRouterTest {

    private volatile double lag = 1;
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters();
    private final Instruments instruments = new Instruments(clock, counters, new CacheHoldLedger(0.5, counters));
    private final List<String> released = new ArrayList<>();
    /** With an aim of 100 s, half of which a request waits: a stalled machine does not decide a test. */
    private final BlockingRequestRouter decisions = new BlockingRequestRouter(
            FleetRulesTest.settings(2, 100, 0.25, 2.5, 2, 12, 0.3, 0.5), 1, instruments, released::add, () -> lag, 0.1);

    @BeforeEach
    void aReaderAndAWriter() {
        decisions.endpointsUpdated(RequestRouter.Scope.COMPLETE, List.of(engine("r0", 0), engine("w0", 1)));
    }

    private static Engine engine(String id, int kind) {
        return new Engine(id, "127.0.0.1:1", 0, kind, 0, Engine.State.ACTIVE, 1, 0);
    }

    private Request request(double left) {
        return RequestBuilder.request("a").deadline(clock.now() + left).build();
    }

    /** Starts a request and returns once it waits. */
    private FutureTask<RoutingDecision> waiting() {
        Callable<RoutingDecision> pick = () -> decisions.nextDecision(request(200));
        FutureTask<RoutingDecision> step = new FutureTask<>(pick);
        Thread thread = new Thread(step);
        thread.setDaemon(true);
        thread.start();
        while (thread.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        return step;
    }

    @Test
    void isDecidedWhenTheProcessHasCaughtUp() throws Exception {
        FutureTask<RoutingDecision> step = waiting();
        decisions.admitQueued();
        assertFalse(step.isDone());
        lag = 0;
        decisions.admitQueued();
        assertInstanceOf(RoutingDecision.Forward.class, step.get());
    }

    @Test
    void isDroppedWhenItsClientLeaves() throws Exception {
        FutureTask<RoutingDecision> step = waiting();
        decisions.clientDisconnected("a");
        assertInstanceOf(RoutingDecision.Discard.class, step.get());
        lag = 0;
        decisions.admitQueued();
        assertInstanceOf(
                RoutingDecision.Forward.class,
                decisions.nextDecision(request(5)),
                "its place in the row is free again");
    }

    /** Nobody runs the policy's timers here: the client gets its answer all the same, and the violation is counted. */
    @Test
    void isFailedWhenThePolicyOwesItsDecisionBeyondTheDeadline() throws Exception {
        lag = 0;
        decisions.endpointsUpdated(RequestRouter.Scope.COMPLETE, List.of(engine("w0", 1)));
        assertInstanceOf(RoutingDecision.Fail.class, decisions.nextDecision(request(0.3)));
        assertEquals(1, counters.count(Counter.INVARIANT_DECISION_OVERDUE));
    }

    /** It was not sent to any engine, so trying again is harmless. */
    @Test
    void isRefusedWhileItsClientStillListens() throws Exception {
        assertInstanceOf(RoutingDecision.Reject.class, decisions.nextDecision(request(0.05)));
        assertEquals(List.of(), released);
    }
}

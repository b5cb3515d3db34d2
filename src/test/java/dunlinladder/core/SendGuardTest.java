package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Which attempts the last check before a send allows. */
class SendGuardTest {

    private final EngineRegistry engines = new EngineRegistry();
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters();
    private final Instruments instruments = new Instruments(clock, counters, new CacheHoldLedger(0.5, counters));

    private static final ServiceRules RULES = new ServiceRules() {
        @Override
        public RerunRule rerunRule(int serviceClass) {
            return RerunRule.FORBIDDEN;
        }

        @Override
        public boolean isPrefillOnly(int kind) {
            return false;
        }
    };

    private void updateEngines(Engine engine) {
        engines.apply(RequestRouter.Scope.CHANGES, List.of(engine));
    }

    @Test
    void forbidsADrainingEngineAtOnceAndWaitsForAnUnreadUpdate() {
        updateEngines(EngineBuilder.engine("m1").build());
        Engine chosen = engines.find("m1").orElseThrow();
        SendGuard guard = new SendGuard(engines, RULES, instruments, 60);
        assertEquals(Optional.empty(), refusal(guard, chosen));
        // An update has arrived and is unread. At the second check it has been read, and the engine drains.
        AtomicBoolean unread = new AtomicBoolean(true);
        guard.setUnreadUpdateCheck(() -> {
            boolean wasUnread = unread.getAndSet(false);
            if (!wasUnread) {
                updateEngines(
                        EngineBuilder.engine("m1").state(Engine.State.LEAVING).build());
            }
            return wasUnread;
        });
        assertEquals(Optional.of(SendRefusal.ENGINE_NOT_ADMITTED), refusal(guard, chosen));
        // An update that is never read does not delay a send forever.
        SendGuard guardWithShortWait = new SendGuard(engines, RULES, instruments, 0.001);
        guardWithShortWait.setUnreadUpdateCheck(() -> true);
        updateEngines(EngineBuilder.engine("m1").build());
        assertEquals(Optional.empty(), refusal(guardWithShortWait, chosen));
        // An engine that is listed with another address is another process.
        updateEngines(EngineBuilder.engine("m1").address("127.0.0.1:2").build());
        assertEquals(Optional.of(SendRefusal.ENGINE_NOT_ADMITTED), refusal(guardWithShortWait, chosen));
        assertEquals(2, counters.count(Counter.SENDS_REFUSED_ENGINE));
    }

    @Test
    void forbidsAttemptsThatWereGivenUpOrCannotArriveInTime() {
        Engine engine = EngineBuilder.engine("m1").build();
        updateEngines(engine);
        SendGuard guard = new SendGuard(engines, RULES, instruments, 0);
        assertEquals(
                Optional.of(SendRefusal.CLIENT_GONE),
                guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY), () -> true));
        assertEquals(Optional.of(SendRefusal.TOO_LATE), guard.refusalToSend(attempt(engine, clock.now()), () -> false));
        assertEquals("sends_refused_client_gone=1 sends_refused_too_late=1", counters.logText());
    }

    /** Guards against a rerun whose connection came up only after the window for reruns had ended. */
    @Test
    void forbidsARerunBehindItsWindow() {
        Engine engine = EngineBuilder.engine("m1").build();
        updateEngines(engine);
        SendGuard guard = new SendGuard(engines, RULES, instruments, 0);
        double now = clock.now();
        assertEquals(
                Optional.empty(),
                guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY, now + 1000), () -> false));
        assertEquals(
                Optional.of(SendRefusal.TOO_LATE),
                guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY, now - 0.001), () -> false));
    }

    private static Optional<SendRefusal> refusal(SendGuard guard, Engine engine) {
        return guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY), () -> false);
    }

    private static Attempt attempt(Engine engine, double writtenBy) {
        return attempt(engine, writtenBy, Double.POSITIVE_INFINITY);
    }

    private static Attempt attempt(Engine engine, double writtenBy, double latestSend) {
        ArrivalDeadlines arrival = new ArrivalDeadlines(writtenBy, writtenBy, 0);
        Request request = RequestBuilder.request("id").build();
        return new Attempt(request, 0, engine, Double.POSITIVE_INFINITY, latestSend, arrival, true);
    }
}

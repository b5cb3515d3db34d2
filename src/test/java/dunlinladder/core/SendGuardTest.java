package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** What the last check before a send lets pass. */
class SendGuardTest {

    private final EngineRegistry engines = new EngineRegistry();
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters();
    private final Instruments instruments = new Instruments(clock, counters, new CacheHoldLedger(0.5, counters));

    private static final ServiceRules RULES = new ServiceRules() {
        @Override
        public boolean isNonIdempotent(int serviceClass) {
            return true;
        }

        @Override
        public boolean isPrefillOnly(int kind) {
            return false;
        }
    };

    private void list(Engine engine) {
        engines.apply(RequestRouter.Scope.CHANGES, List.of(engine));
    }

    @Test
    void forbidsADrainingEngineAtOnceAndWaitsForAnUnreadUpdate() {
        list(EngineBuilder.engine("m1").build());
        Engine chosen = engines.find("m1").orElseThrow();
        SendGuard guard = new SendGuard(engines, RULES, instruments, 60);
        assertEquals(Optional.empty(), refusal(guard, chosen));
        // An update is there and unread: the second check finds it read, and the engine drains in it.
        AtomicBoolean unread = new AtomicBoolean(true);
        guard.setUnreadUpdateCheck(() -> {
            boolean was = unread.getAndSet(false);
            if (!was) {
                list(EngineBuilder.engine("m1").state(Engine.State.LEAVING).build());
            }
            return was;
        });
        assertEquals(Optional.of(SendRefusal.ENGINE_NOT_ADMITTED), refusal(guard, chosen));
        // An update that never gets read does not delay a send for good.
        SendGuard impatient = new SendGuard(engines, RULES, instruments, 0.001);
        impatient.setUnreadUpdateCheck(() -> true);
        list(EngineBuilder.engine("m1").build());
        assertEquals(Optional.empty(), refusal(impatient, chosen));
        // An engine that is listed elsewhere now is another process.
        list(EngineBuilder.engine("m1").address("127.0.0.1:2").build());
        assertEquals(Optional.of(SendRefusal.ENGINE_NOT_ADMITTED), refusal(impatient, chosen));
        assertEquals(2, counters.count(Counter.SENDS_REFUSED_ENGINE));
    }

    @Test
    void forbidsWhatWasGivenUpOrCannotArriveInTime() {
        Engine engine = EngineBuilder.engine("m1").build();
        list(engine);
        SendGuard guard = new SendGuard(engines, RULES, instruments, 0);
        assertEquals(
                Optional.of(SendRefusal.CLIENT_GONE),
                guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY), () -> true));
        assertEquals(Optional.of(SendRefusal.TOO_LATE), guard.refusalToSend(attempt(engine, clock.now()), () -> false));
        assertEquals("sends_refused_client_gone=1 sends_refused_too_late=1", counters.logText());
    }

    private static Optional<SendRefusal> refusal(SendGuard guard, Engine engine) {
        return guard.refusalToSend(attempt(engine, Double.POSITIVE_INFINITY), () -> false);
    }

    private static Attempt attempt(Engine engine, double writtenBy) {
        ArrivalDeadlines arrival = new ArrivalDeadlines(writtenBy, writtenBy, 0);
        return new Attempt(RequestBuilder.request("id").build(), 0, engine, Double.POSITIVE_INFINITY, arrival, true);
    }
}

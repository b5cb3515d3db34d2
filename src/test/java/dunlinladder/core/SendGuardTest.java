package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** What the last check before a send lets pass. */
class SendGuardTest {

    private final EngineRegistry engines = new EngineRegistry();
    private final Clock clock = new Clock();

    private void list(Engine engine) {
        engines.apply(RequestRouter.Scope.CHANGES, List.of(engine));
    }

    @Test
    void forbidsADrainingEngineAtOnceAndWaitsForAnUnreadUpdate() {
        list(EngineBuilder.engine("m1").build());
        Engine chosen = engines.find("m1").orElseThrow();
        SendGuard guard = new SendGuard(engines, clock, 60);
        assertTrue(guard.allows(chosen));
        // An update is there and unread: the second check finds it read, and the engine drains in it.
        AtomicBoolean unread = new AtomicBoolean(true);
        guard.setUnreadUpdateCheck(() -> {
            boolean was = unread.getAndSet(false);
            if (!was) {
                list(EngineBuilder.engine("m1").state(Engine.State.LEAVING).build());
            }
            return was;
        });
        assertFalse(guard.allows(chosen));
        // An update that never gets read does not delay a send for good.
        SendGuard impatient = new SendGuard(engines, clock, 0.001);
        impatient.setUnreadUpdateCheck(() -> true);
        list(EngineBuilder.engine("m1").build());
        assertTrue(impatient.allows(chosen));
        // An engine that is listed elsewhere now is another process.
        list(EngineBuilder.engine("m1").address("127.0.0.1:2").build());
        assertFalse(impatient.allows(chosen));
    }
}

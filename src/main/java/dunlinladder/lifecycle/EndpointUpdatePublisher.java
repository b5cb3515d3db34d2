package dunlinladder.lifecycle;

import dunlinladder.core.DaemonThreads;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.EngineStartTimes;
import dunlinladder.core.RequestRouter;
import dunlinladder.membership.EndpointUpdate;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts updates of the endpoints in force. The registry has an update before this returns, so that it holds for what is
 * already on its way to an engine; the router is notified by the thread {@code endpoint-updates}, in order, as it may
 * have to wait for the lock of the routing policy.
 *
 * <p>Has no state of its own; updates must be handed in one at a time, which {@code EndpointWatcher} sees to.
 */
final class EndpointUpdatePublisher implements Consumer<EndpointUpdate> {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointUpdatePublisher.class);

    private final EngineRegistry engines;
    private final RequestRouter router;
    private final EngineStartTimes startTimes;
    private final Executor notifications =
            Executors.newSingleThreadExecutor(task -> DaemonThreads.create(task, "endpoint-updates"));

    EndpointUpdatePublisher(EngineRegistry engines, RequestRouter router, EngineStartTimes startTimes) {
        this.engines = engines;
        this.router = router;
        this.startTimes = startTimes;
    }

    /** Puts one update in force; a snapshot without engines is passed over, as it can only be a fault of discovery. */
    @Override
    public void accept(EndpointUpdate update) {
        if (update.isSnapshot() && update.engines().isEmpty()) {
            return;
        }
        List<Engine> named = startTimes.onClock(update.engines(), update.scope() == RequestRouter.Scope.CACHED);
        engines.apply(update.scope(), named);
        LOG.debug(
                "event=endpoints_updated version={} scope={} named={} listed={}",
                update.version(),
                update.scope(),
                update.engines().size(),
                engines.size());
        notifications.execute(() -> router.endpointsUpdated(update.scope(), named));
    }
}

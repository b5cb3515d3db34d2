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
 * Applies endpoint updates. The registry holds an update before {@link #accept} returns, so that the update also
 * applies to attempts that have been decided but not yet sent. The thread {@code endpoint-updates} notifies the router,
 * in order, because a notification may have to wait for the lock of the routing policy.
 *
 * <p>Stateless. Updates must be passed in one at a time; {@code EndpointWatcher} ensures this.
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

    /** Applies one update. Ignores a snapshot without engines, which can only be an error of discovery. */
    @Override
    public void accept(EndpointUpdate update) {
        if (update.isSnapshot() && update.engines().isEmpty()) {
            return;
        }
        List<Engine> endpoints = startTimes.toClockTime(update.engines(), update.scope() == RequestRouter.Scope.CACHED);
        engines.apply(update.scope(), endpoints);
        LOG.debug(
                "event=endpoints_updated version={} scope={} named={} listed={}",
                update.version(),
                update.scope(),
                update.engines().size(),
                engines.size());
        notifications.execute(() -> router.endpointsUpdated(update.scope(), endpoints));
    }
}

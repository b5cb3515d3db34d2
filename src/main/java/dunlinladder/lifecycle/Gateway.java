package dunlinladder.lifecycle;

import dunlinladder.core.Clock;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Limits;
import dunlinladder.core.SendGuard;
import dunlinladder.core.ServiceRules;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.migration.EngineEligibility;
import dunlinladder.migration.EngineStage;
import dunlinladder.migration.Generation;
import dunlinladder.routing.BlockingRequestRouter;
import dunlinladder.routing.Router;
import dunlinladder.transport.chat.ChatExchange;
import dunlinladder.transport.discovery.EndpointListReader;
import dunlinladder.transport.discovery.EndpointWatcher;
import dunlinladder.transport.engine.EngineClient;
import dunlinladder.transport.engine.EngineConnectionPool;
import dunlinladder.transport.engine.SchedulingLagMonitor;
import dunlinladder.transport.http.HttpListener;
import dunlinladder.transport.platform.PlatformExchange;
import dunlinladder.transport.platform.PlatformRequestReader;
import java.io.IOException;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the parts together, starts them and stops them. */
final class Gateway {

    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    private final GatewayConfig config;
    private final ChatConfigReader.Chat operator;
    private final Limits limits;
    private final EngineRegistry engines = new EngineRegistry();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "timer"));
    private final EngineClient client;
    private final BlockingRequestRouter decisions;
    private final Dispatcher dispatcher;
    private final HttpListener server;
    private final HttpListener chat;
    private final List<HttpListener> servers;
    private final EndpointListReader hosts;
    private final EndpointUpdate known;
    /** Tells the decisions of news in order; the list itself does not wait for them. */
    private final Executor told = Executors.newSingleThreadExecutor(task -> daemon(task, "news"));

    private final EndpointWatcher watch;
    private boolean started;
    private volatile boolean draining;
    private volatile boolean closing;

    /** Creates a gateway; {@code operator} is null where the chat front is off. */
    Gateway(GatewayConfig config, ChatConfigReader.Chat operator) throws IOException {
        this.config = config;
        this.operator = operator;
        this.limits = config.limits();
        Clock clock = new Clock();
        EngineConnectionPool connections = new EngineConnectionPool(limits, timer);
        SendGuard gate = new SendGuard(engines, clock, limits.sendGuardSeconds());
        client = new EngineClient(connections, engines, gate, clock, limits, timer);
        SchedulingLagMonitor pulse = new SchedulingLagMonitor(connections);
        decisions = new BlockingRequestRouter(
                config.settings(), config.seed(), clock, client::release, pulse::lag, limits.maxLagSeconds());
        timer.scheduleWithFixedDelay(
                () -> {
                    pulse.probe();
                    decisions.pulse();
                },
                0,
                (long) (limits.lagCheckSeconds() * 1e6),
                TimeUnit.MICROSECONDS);
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                4, limits.requests(), 10, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> daemon(task, "request"));
        dispatcher = new Dispatcher(
                decisions,
                engines,
                client,
                pool,
                clock,
                new Dispatcher.Settings(
                        limits.requests(), limits.answerMarginSeconds(), serviceRules(config.settings())));
        AtomicLong bodies = new AtomicLong();
        PlatformExchange.Shared shared = new PlatformExchange.Shared(
                dispatcher,
                new PlatformRequestReader(config.classes(), config.deadlines(), config.tenants()),
                clock,
                limits,
                () -> draining,
                () -> closing,
                bodies);
        // The fronts share the descriptors that are meant for clients.
        int clients = limits.clientConnections() / (operator == null ? 1 : 2);
        server = new HttpListener(clients, limits, () -> new PlatformExchange(shared));
        ChatExchange.Shared chats = operator == null
                ? null
                : new ChatExchange.Shared(
                        dispatcher, operator.settings(), routing(clock), engines, clock, limits, () -> closing, bodies);
        chat = operator == null ? null : new HttpListener(clients, limits, () -> new ChatExchange(chats));
        hosts = new EndpointListReader(config.zones(), config.kinds());
        known = known(config);
        watch = new EndpointWatcher(
                hosts, config.list(), clock, known == null ? 0 : known.version(), config.seed(), this::learn);
        gate.setUnreadUpdateCheck(watch::hasUnreadUpdate);
        servers = chat == null ? List.of(server) : List.of(server, chat);
        timer.scheduleWithFixedDelay(() -> servers.forEach(HttpListener::sweep), 100, 100, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(connections::closeIdle, 1, 1, TimeUnit.SECONDS);
    }

    private static ServiceRules serviceRules(Router.Settings settings) {
        return new ServiceRules() {
            @Override
            public boolean isNonIdempotent(int serviceClass) {
                return settings.classes().get(serviceClass).effect() == Router.Effect.UNSAFE;
            }

            @Override
            public boolean isPrefillOnly(int kind) {
                return kind < settings.roleByKind().size()
                        && settings.roleByKind().get(kind) == Router.Role.PREFILL;
            }
        };
    }

    /** Which engines may have which of the chat front's requests; its standing is logged when it changes. */
    private EngineEligibility routing(Clock clock) {
        List<Router.Role> roles = config.settings().roleByKind();
        EngineEligibility routing = new EngineEligibility(
                operator.settings().engines(),
                Optional.ofNullable(operator.settings().move()),
                engines::listed,
                engine -> switch (engine.kind() < roles.size() ? roles.get(engine.kind()) : Router.Role.MIXED) {
                    case PREFILL -> EnumSet.of(EngineStage.PREFILL);
                    case DECODE -> EnumSet.of(EngineStage.DECODE);
                    case MIXED -> EnumSet.allOf(EngineStage.class);
                },
                config.seed(),
                clock.now());
        String[] told = {""};
        timer.scheduleWithFixedDelay(
                () -> {
                    routing.advance(clock.now());
                    if (!told[0].equals(routing.statusText())) {
                        told[0] = routing.statusText();
                        LOG.info("event=generations {}", told[0]);
                    }
                },
                1,
                1,
                TimeUnit.SECONDS);
        return routing;
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts all parts; clients are let in last. */
    synchronized int start() throws IOException, InterruptedException {
        if (known != null) {
            learn(known);
        }
        watch.moveTo(config.discovery());
        daemon(watch, "discovery").start();
        daemon(this::tick, "decisions").start();
        int port = server.listen(config.listen());
        LOG.info("{} listens on {} port {}", config.name(), config.listen(), port);
        if (chat != null) {
            ChatExchange.warm(operator.settings().engines().stream()
                    .map(Generation::format)
                    .distinct()
                    .toList());
            LOG.info("{} speaks chat on {} port {}", config.name(), operator.listen(), chat.listen(operator.listen()));
        }
        started = true;
        return port;
    }

    /** Runs {@code look} on a thread of its own about once a second while discovery does not answer. */
    void whileDiscoveryIsLost(Runnable look) {
        timer.scheduleWithFixedDelay(
                () -> {
                    if (watch.lastCallFailed()) {
                        daemon(look, "configuration").start();
                    }
                },
                1,
                1,
                TimeUnit.SECONDS);
    }

    /** The list of engines that a configuration holds, checked; null where it has none. */
    private EndpointUpdate known(GatewayConfig from) {
        return from.known().has("hosts") ? hosts.read(from.known(), true) : null;
    }

    /**
     * Takes up a new configuration: the address of discovery. What else the file says takes effect at the next start,
     * but all of it is checked, so that a file with faults changes nothing.
     */
    void reload(GatewayConfig next) throws IOException {
        known(next);
        watch.moveTo(next.discovery());
    }

    /**
     * The list is put in place at once, before the module may send to what it names, and holds for what is on its way
     * to an engine; the module hears of it when its lock is free.
     */
    private void learn(EndpointUpdate news) {
        if (!news.isSnapshot() || !news.engines().isEmpty()) {
            engines.apply(news.scope(), news.engines());
            LOG.debug(
                    "event=list version={} scope={} named={} listed={}",
                    news.version(),
                    news.scope(),
                    news.engines().size(),
                    engines.size());
            told.execute(() -> decisions.endpointsUpdated(news.scope(), news.engines()));
        }
    }

    private void tick() {
        try {
            while (true) {
                decisions.tick();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * An orderly end: first only {@code /up} says no, as connections keep coming until the front has seen it; then
     * nothing new is accepted, idle connections close, and what was taken is finished. False, and nothing done, where
     * it has not started; one that is just starting is waited for.
     */
    synchronized boolean stop() throws InterruptedException, IOException {
        if (!started) {
            return false;
        }
        LOG.info("stopping with {} requests", dispatcher.activeRequests());
        draining = true;
        Thread.sleep((long) (limits.drainSeconds() * 1000));
        closing = true;
        for (HttpListener each : servers) {
            each.stopListening();
        }
        // What is held at engines for a request outlives its answer until a release has arrived.
        while (dispatcher.activeRequests() > 0 || client.openReleases() > 0) {
            closeIdle();
            Thread.sleep(20);
        }
        // Requests that are still on their way in, answers on their way out: each has its own bound under
        // this.
        long until = System.nanoTime() + (long) (limits.stallSeconds() * 1e9);
        while (!closeIdle() && System.nanoTime() < until) {
            Thread.sleep(20);
        }
        servers.forEach(HttpListener::close);
        LOG.info("stopped");
        return true;
    }

    /** Closes what rests, true when no client's connection is left. */
    private boolean closeIdle() {
        boolean none = true;
        for (HttpListener each : servers) {
            none &= each.closeIdle();
        }
        return none;
    }
}

package dunlinladder.lifecycle;

import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counters;
import dunlinladder.core.DaemonThreads;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.EngineStartTimes;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.SendGuard;
import dunlinladder.core.WallClock;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.migration.EngineEligibility;
import dunlinladder.migration.EngineStage;
import dunlinladder.routing.BlockingRequestRouter;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.chat.ChatExchange;
import dunlinladder.transport.chat.ChatSettings;
import dunlinladder.transport.chat.TranslationLimiter;
import dunlinladder.transport.discovery.EndpointListReader;
import dunlinladder.transport.discovery.EndpointWatcher;
import dunlinladder.transport.engine.EngineClient;
import dunlinladder.transport.engine.EngineConnectionPool;
import dunlinladder.transport.engine.SchedulingLagMonitor;
import dunlinladder.transport.http.HttpListener;
import dunlinladder.transport.http.MemoryBudget;
import dunlinladder.transport.platform.PlatformExchange;
import dunlinladder.transport.platform.PlatformRequestReader;
import java.io.IOException;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Builds the components of a gateway and connects them; {@link Gateway} starts and stops them. The constructor starts
 * no threads except those that the components start in their own constructors.
 *
 * <p>Immutable. All threads share the components; each component documents how its own state is guarded.
 */
final class GatewayAssembly {

    /** Threads that are kept even if there are no requests. */
    private static final int MIN_REQUEST_THREADS = 4;
    /** Idle time after which a thread beyond {@link #MIN_REQUEST_THREADS} ends. */
    private static final long REQUEST_THREAD_IDLE_SECONDS = 10;

    private final GatewayConfig config;
    private final Limits limits;
    private final MonotonicClock clock = new MonotonicClock();
    private final WallClock wallClock = WallClock.ofThisMachine();
    private final Counters counters = new Counters();
    private final Instruments instruments;
    private final EngineRegistry engines = new EngineRegistry();
    private final Supplier<LifecycleState> state;

    private final EngineConnectionPool engineConnections;
    private final EngineClient engineClient;
    private final SchedulingLagMonitor lagMonitor;
    private final BlockingRequestRouter router;
    private final Dispatcher dispatcher;
    private final EndpointListReader endpointListReader;
    private final Optional<EndpointUpdate> cachedEndpoints;
    private final EndpointUpdatePublisher endpointUpdates;
    private final EndpointWatcher endpointWatcher;
    private final Optional<EngineEligibility> eligibility;
    private final HttpListener platformFront;
    private final Optional<HttpListener> chatFront;

    /**
     * Builds the components.
     *
     * @param chat the chat front's configuration; empty if the chat front is off
     * @param timer runs the timeouts of the calls to engines
     * @param state supplies the gateway's state, which the fronts read for every request
     * @throws dunlinladder.transport.json.InvalidInputException if the engine list in the configuration has an error
     * @throws IOException if a selector cannot be opened
     */
    GatewayAssembly(
            GatewayConfig config,
            Optional<ChatFrontConfig> chat,
            ScheduledExecutorService timer,
            Supplier<LifecycleState> state)
            throws IOException {
        this.config = config;
        this.limits = config.limits();
        this.state = state;
        endpointListReader =
                new EndpointListReader(config.names().zones(), config.names().kinds());
        cachedEndpoints = readCachedEndpoints(config);
        engineConnections = new EngineConnectionPool(limits, timer, counters);
        instruments = new Instruments(
                clock, counters, new CacheHoldLedger(config.routing().rules().releaseWithin(), counters));
        SendGuard sendGuard = new SendGuard(
                engines, new ConfiguredServiceRules(config.routing()), instruments, limits.sendGuardSeconds());
        engineClient = new EngineClient(engineConnections, engines, sendGuard, instruments, limits, timer);
        lagMonitor = new SchedulingLagMonitor(engineConnections);
        router = createRouter();
        dispatcher = new Dispatcher(
                router,
                sendGuard,
                engineClient,
                createRequestThreads(),
                instruments,
                new Dispatcher.Settings(limits.requests(), limits.answerMarginSeconds()));
        eligibility = chat.map(front -> createEligibility(front.settings()));
        int fronts = chat.isPresent() ? 2 : 1;
        int connectionsPerFront = limits.clientConnections() / fronts;
        long memoryPerFront = limits.requestMemoryBytes() / fronts;
        platformFront = createPlatformFront(connectionsPerFront, memoryPerFront);
        chatFront = chat.isPresent()
                ? Optional.of(createChatFront(
                        connectionsPerFront, memoryPerFront, chat.get().settings()))
                : Optional.empty();
        endpointUpdates = new EndpointUpdatePublisher(engines, router, createEngineStartTimes());
        endpointWatcher = createEndpointWatcher();
        sendGuard.setUnreadUpdateCheck(endpointWatcher::hasUnreadUpdate);
    }

    private EngineStartTimes createEngineStartTimes() {
        RoutingSettings.Rules rules = config.routing().rules();
        return new EngineStartTimes(clock, wallClock, rules.cold(), rules.coldFrom());
    }

    /** Reads and checks the engines that a configuration itself lists; empty if it lists none. */
    Optional<EndpointUpdate> readCachedEndpoints(GatewayConfig source) {
        return source.discovery().cachedList().map(list -> endpointListReader.read(list, true));
    }

    private BlockingRequestRouter createRouter() {
        return new BlockingRequestRouter(
                config.routing(),
                config.identity().seed(),
                instruments,
                engineClient::release,
                lagMonitor::lag,
                limits.maxSchedulingLagSeconds());
    }

    /**
     * Creates the executor that runs each request, from its arrival to the beginning of its stream or its final answer,
     * on its own thread {@code request}.
     */
    private Executor createRequestThreads() {
        return new ThreadPoolExecutor(
                MIN_REQUEST_THREADS,
                limits.requestThreads(),
                REQUEST_THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                task -> DaemonThreads.create(task, "request"));
    }

    private HttpListener createPlatformFront(int maxConnections, long requestMemoryBytes) throws IOException {
        PlatformExchange.Context context = new PlatformExchange.Context(
                dispatcher,
                new PlatformRequestReader(
                        config.names().classes(),
                        config.deadlines(),
                        config.names().tenants()),
                clock,
                limits,
                () -> state.get().isDraining(),
                () -> state.get().isClosing(),
                new MemoryBudget(requestMemoryBytes, counters));
        return new HttpListener(maxConnections, limits, counters, () -> new PlatformExchange(context));
    }

    private HttpListener createChatFront(int maxConnections, long requestMemoryBytes, ChatSettings settings)
            throws IOException {
        ChatExchange.Context context = new ChatExchange.Context(
                dispatcher,
                settings,
                eligibility.orElseThrow(),
                engines,
                clock,
                limits,
                () -> state.get().isClosing(),
                new MemoryBudget(requestMemoryBytes, counters),
                new TranslationLimiter(limits.parsedBodyBytes()));
        return new HttpListener(maxConnections, limits, counters, () -> new ChatExchange(context));
    }

    /** Creates the rules that decide which engines may serve which requests of the chat front. */
    private EngineEligibility createEligibility(ChatSettings settings) {
        return new EngineEligibility(
                settings.generations(),
                Optional.ofNullable(settings.migrationPlan()),
                engines::listed,
                this::stagesOf,
                config.identity().seed(),
                clock.now());
    }

    /**
     * Returns the stages of a request that an engine can serve. A kind without a role in the settings counts as mixed.
     */
    private Set<EngineStage> stagesOf(Engine engine) {
        List<RoutingSettings.Role> roles = config.routing().roleByKind();
        RoutingSettings.Role role =
                engine.kind() < roles.size() ? roles.get(engine.kind()) : RoutingSettings.Role.MIXED;
        return switch (role) {
            case PREFILL -> EnumSet.of(EngineStage.PREFILL);
            case DECODE -> EnumSet.of(EngineStage.DECODE);
            case MIXED -> EnumSet.allOf(EngineStage.class);
        };
    }

    private EndpointWatcher createEndpointWatcher() {
        return new EndpointWatcher(
                endpointListReader,
                config.discovery().timeouts(),
                clock,
                cachedEndpoints.map(EndpointUpdate::version).orElse(0L),
                config.identity().seed(),
                endpointUpdates);
    }

    MonotonicClock clock() {
        return clock;
    }

    WallClock wallClock() {
        return wallClock;
    }

    Instruments instruments() {
        return instruments;
    }

    EngineConnectionPool engineConnections() {
        return engineConnections;
    }

    EngineClient engineClient() {
        return engineClient;
    }

    SchedulingLagMonitor lagMonitor() {
        return lagMonitor;
    }

    BlockingRequestRouter router() {
        return router;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the engines that the configuration itself lists; empty if it lists none. */
    Optional<EndpointUpdate> cachedEndpoints() {
        return cachedEndpoints;
    }

    EndpointUpdatePublisher endpointUpdates() {
        return endpointUpdates;
    }

    EndpointWatcher endpointWatcher() {
        return endpointWatcher;
    }

    /** Returns the eligibility rules of the chat front; empty if the chat front is off. */
    Optional<EngineEligibility> eligibility() {
        return eligibility;
    }

    HttpListener platformFront() {
        return platformFront;
    }

    /** Returns the chat front; empty if it is off. */
    Optional<HttpListener> chatFront() {
        return chatFront;
    }

    /** Returns the fronts that are on. They share the limit on client connections. */
    List<HttpListener> fronts() {
        return chatFront.map(chat -> List.of(platformFront, chat)).orElseGet(() -> List.of(platformFront));
    }
}

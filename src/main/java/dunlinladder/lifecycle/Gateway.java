package dunlinladder.lifecycle;

import dunlinladder.core.DaemonThreads;
import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.migration.Generation;
import dunlinladder.transport.chat.TranslationWarmup;
import dunlinladder.transport.http.HttpListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway from start to stop: starts its components, reloads its configuration, drains and stops.
 * {@link GatewayAssembly} builds the components.
 *
 * <p>Threads that this class starts, all of them daemons:
 *
 * <ul>
 *   <li>{@code timer} runs all recurring tasks and the timeouts of the calls to engines;
 *   <li>{@code discovery} runs the watch of the endpoints;
 *   <li>{@code routing-timers} runs the routing policy's timers when they are due;
 *   <li>{@code configuration} reads the configuration again while discovery does not answer; it ends after one check.
 * </ul>
 *
 * <p>{@link #start} and {@link #stop} are mutually exclusive. They hold this object's monitor, which guards all changes
 * of the state; the fronts read the state without it.
 */
final class Gateway {

    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Interval between two checks for client connections that have reached a timeout. */
    private static final long CLIENT_TIMEOUT_CHECK_INTERVAL_MILLIS = 100;
    /** Interval between two checks for connections to engines that have been idle for too long. */
    private static final long ENGINE_IDLE_CHECK_INTERVAL_SECONDS = 1;

    private static final long COUNTERS_INTERVAL_SECONDS = 10;
    private static final long MIGRATION_STATUS_INTERVAL_SECONDS = 1;
    private static final long DISCOVERY_CHECK_INTERVAL_SECONDS = 1;
    /** Interval between two checks whether the last requests or connections have ended. */
    private static final long STOP_POLL_MILLIS = 20;

    private final GatewayConfig config;
    private final Optional<ChatFrontConfig> chat;
    private final Limits limits;
    private final ScheduledExecutorService timer = createTimer();
    private final GatewayAssembly components;
    private final WallClockMonitor wallClockMonitor;
    private final CountersLog countersLog;
    private volatile LifecycleState state = LifecycleState.STARTING;

    /**
     * Creates a gateway.
     *
     * @param chat the chat front's configuration; empty if the chat front is off
     * @throws dunlinladder.transport.json.InvalidInputException if the engine list in the configuration has an error
     * @throws IOException if a selector cannot be opened
     */
    Gateway(GatewayConfig config, Optional<ChatFrontConfig> chat) throws IOException {
        this.config = config;
        this.chat = chat;
        this.limits = config.limits();
        components = new GatewayAssembly(config, chat, timer, () -> state);
        wallClockMonitor = new WallClockMonitor(
                components.wallClock(),
                components.clock()::now,
                components.instruments().counters());
        countersLog = new CountersLog(components.instruments().counters());
        scheduleRecurringTasks();
    }

    private static ScheduledExecutorService createTimer() {
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, task -> DaemonThreads.create(task, "timer"));
        // Most timeouts are cancelled. Without this policy, they would stay in the queue until they are due.
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    private void scheduleRecurringTasks() {
        timer.scheduleWithFixedDelay(
                new RecurringTask("scheduling-lag", this::runFrequentChecks),
                0,
                (long) (limits.schedulingLagCheckSeconds() * MICROS_PER_SECOND),
                TimeUnit.MICROSECONDS);
        timer.scheduleWithFixedDelay(
                new RecurringTask("counters", countersLog),
                COUNTERS_INTERVAL_SECONDS,
                COUNTERS_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        MonotonicClock clock = components.clock();
        components
                .eligibility()
                .ifPresent(eligibility -> timer.scheduleWithFixedDelay(
                        new RecurringTask("migration-status", new MigrationStatusLog(eligibility, clock)),
                        MIGRATION_STATUS_INTERVAL_SECONDS,
                        MIGRATION_STATUS_INTERVAL_SECONDS,
                        TimeUnit.SECONDS));
        timer.scheduleWithFixedDelay(
                new RecurringTask("client-sweep", () -> components.fronts().forEach(HttpListener::enforceTimeouts)),
                CLIENT_TIMEOUT_CHECK_INTERVAL_MILLIS,
                CLIENT_TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                new RecurringTask("engine-sweep", components.engineConnections()::closeIdle),
                ENGINE_IDLE_CHECK_INTERVAL_SECONDS,
                ENGINE_IDLE_CHECK_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    private void runFrequentChecks() {
        wallClockMonitor.check();
        components
                .instruments()
                .cacheHolds()
                .removeOverdueHolds(components.clock().now());
        components.lagMonitor().probe();
        components.router().admitQueued();
    }

    /**
     * Starts all components. The fronts start to listen last, the chat front after its translation warm-up.
     *
     * @return the port of the platform's front
     * @throws IOException if an address is in use or does not belong to this host
     */
    synchronized int start() throws IOException, InterruptedException {
        components.cachedEndpoints().ifPresent(components.endpointUpdates());
        components.endpointWatcher().changeAddress(config.discovery().address());
        DaemonThreads.create(components.endpointWatcher(), "discovery").start();
        DaemonThreads.create(this::runRoutingTimers, "routing-timers").start();
        int port = listen("platform", components.platformFront(), config.listen());
        if (chat.isPresent()) {
            TranslationWarmup.run(chat.get().settings().generations().stream()
                    .map(Generation::format)
                    .distinct()
                    .toList());
            listen("chat", components.chatFront().orElseThrow(), chat.get().listen());
        }
        state = LifecycleState.RUNNING;
        return port;
    }

    private int listen(String frontName, HttpListener front, InetSocketAddress address)
            throws IOException, InterruptedException {
        int port = front.listen(address);
        LOG.info(
                "event=listening gateway={} front={} address={} port={}",
                config.identity().name(),
                frontName,
                address.getHostString(),
                port);
        return port;
    }

    private void runRoutingTimers() {
        RecurringTask.Body timers = components.router()::runTimers;
        try {
            while (true) {
                RecurringTask.runLoggingErrors("routing-timers", timers);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@code task} on a new thread about once a second while discovery does not answer. */
    void scheduleWhileDiscoveryFails(Runnable task) {
        timer.scheduleWithFixedDelay(
                new RecurringTask("configuration", () -> {
                    if (components.endpointWatcher().lastCallFailed()) {
                        DaemonThreads.create(task, "configuration").start();
                    }
                }),
                DISCOVERY_CHECK_INTERVAL_SECONDS,
                DISCOVERY_CHECK_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    /**
     * Switches to the discovery address of a new configuration. All its other settings take effect at the next start.
     * The whole configuration is checked first, so that a file with errors changes nothing.
     *
     * @throws dunlinladder.transport.json.InvalidInputException if the engine list in the configuration has an error
     */
    void reload(GatewayConfig next) {
        components.readCachedEndpoints(next);
        components.endpointWatcher().changeAddress(next.discovery().address());
    }

    /**
     * Stops the gateway in four steps: asks the load balancer in front of the gateways to send clients elsewhere, stops
     * accepting connections, finishes the accepted requests, and closes the connections. {@link Limits.ShutdownTimes}
     * gives the time of each step. Waits for a start in progress.
     *
     * @return false if the gateway was not running; then nothing was done
     */
    synchronized boolean stop() throws InterruptedException, IOException {
        if (state != LifecycleState.RUNNING) {
            return false;
        }
        LOG.info("event=stopping requests={}", components.dispatcher().activeRequests());
        long stoppingSince = System.nanoTime();
        drain();
        stopAccepting();
        finishRequests(stoppingSince);
        awaitClientConnections(stoppingSince);
        components.fronts().forEach(HttpListener::close);
        state = LifecycleState.CLOSED;
        countersLog.logUnconditionally();
        LOG.info("event=stopped");
        return true;
    }

    /**
     * Marks the gateway as draining and waits for {@code drainSeconds}. During this time only the health check
     * {@code /up} changes, because clients keep connecting until the load balancer has seen it.
     */
    private void drain() throws InterruptedException {
        state = LifecycleState.DRAINING;
        Thread.sleep((long) (limits.shutdown().drainSeconds() * MILLIS_PER_SECOND));
    }

    private void stopAccepting() throws InterruptedException {
        state = LifecycleState.CLOSING;
        for (HttpListener front : components.fronts()) {
            front.stopListening();
        }
    }

    /**
     * Waits until no request is active and no release is open. Releases count because an engine holds a KV cache until
     * its release arrives. From {@code finalAnswerSeconds} on, requests without a stream get their final answer at
     * once, even if an engine does not respond; a stream lasts as long as its engine writes it. From
     * {@code exitSeconds} on, open releases are given up as soon as no request is active.
     */
    private void finishRequests(long stoppingSince) throws InterruptedException {
        while (components.dispatcher().activeRequests() > 0
                || components.engineClient().openReleases() > 0) {
            shutDownConnections();
            if (isPast(stoppingSince, limits.shutdown().finalAnswerSeconds())) {
                components.dispatcher().expireRequests();
            }
            if (isPast(stoppingSince, limits.shutdown().exitSeconds())
                    && components.dispatcher().activeRequests() == 0) {
                LOG.warn(
                        "event=releases_given_up releases={}",
                        components.engineClient().openReleases());
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    /**
     * Waits until all client connections have closed. From {@code exitSeconds} on, waits only while an answer is being
     * written to a client, and for at most {@code stallSeconds} more. The caller closes the remaining connections.
     */
    private void awaitClientConnections(long stoppingSince) throws InterruptedException {
        while (!shutDownConnections()) {
            boolean exitDue = isPast(stoppingSince, limits.shutdown().exitSeconds());
            boolean stallLimitReached = isPast(stoppingSince, limits.shutdown().exitSeconds() + limits.stallSeconds());
            if (stallLimitReached || exitDue && components.fronts().stream().noneMatch(HttpListener::isAnswering)) {
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    private static boolean isPast(long sinceNanos, double seconds) {
        return System.nanoTime() - sinceNanos > seconds * NANOS_PER_SECOND;
    }

    /**
     * Closes the idle client connections of all fronts; the others close after their response. Must be called
     * repeatedly until it returns true, which means that no connection is open or waits for its registration.
     */
    private boolean shutDownConnections() {
        boolean noneLeft = true;
        for (HttpListener front : components.fronts()) {
            noneLeft &= front.shutDownConnections();
        }
        return noneLeft;
    }
}

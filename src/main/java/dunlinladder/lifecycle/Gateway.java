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
 * The life of a gateway: starts its parts, takes up a new configuration, drains and stops. {@link GatewayAssembly}
 * builds the parts.
 *
 * <p>Threads that this class starts, all of them daemons:
 *
 * <ul>
 *   <li>{@code timer} runs everything that recurs, and the time-outs of the calls to engines;
 *   <li>{@code discovery} owns the watch of the endpoints;
 *   <li>{@code routing-timers} hands the routing policy the timers that it has set, when they are due;
 *   <li>{@code configuration} reads the configuration again while discovery does not answer; it lives for one look.
 * </ul>
 *
 * <p>{@link #start} and {@link #stop} exclude each other by this object's monitor, which guards all changes of the
 * state; the fronts read the state without it.
 */
final class Gateway {

    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Between two closings of the clients' connections that have reached a time-out. */
    private static final long SWEEP_INTERVAL_MILLIS = 100;
    /** Between two closings of the connections to engines that were idle too long. */
    private static final long ENGINE_SWEEP_INTERVAL_SECONDS = 1;

    private static final long COUNTERS_INTERVAL_SECONDS = 10;
    private static final long MIGRATION_INTERVAL_SECONDS = 1;
    private static final long DISCOVERY_CHECK_INTERVAL_SECONDS = 1;
    /** Between two looks at whether the last requests or connections have ended. */
    private static final long STOP_POLL_MILLIS = 20;

    private final GatewayConfig config;
    private final Optional<ChatFrontConfig> chat;
    private final Limits limits;
    private final ScheduledExecutorService timer = createTimer();
    private final GatewayAssembly parts;
    private final WallClockMonitor wallClockMonitor;
    private final CountersLog countersLog;
    private volatile LifecycleState state = LifecycleState.STARTING;

    /**
     * Creates a gateway.
     *
     * @param chat the chat front; empty where it is off
     * @throws dunlinladder.transport.json.InvalidInputException where the configuration's own list has a fault
     */
    Gateway(GatewayConfig config, Optional<ChatFrontConfig> chat) throws IOException {
        this.config = config;
        this.chat = chat;
        this.limits = config.limits();
        parts = new GatewayAssembly(config, chat, timer, () -> state);
        wallClockMonitor = new WallClockMonitor(
                parts.wallClock(), parts.clock()::now, parts.instruments().counters());
        countersLog = new CountersLog(parts.instruments().counters());
        scheduleRecurringTasks();
    }

    private static ScheduledExecutorService createTimer() {
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, task -> DaemonThreads.create(task, "timer"));
        // Most time-outs are cancelled, and would be kept until they are due.
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    private void scheduleRecurringTasks() {
        timer.scheduleWithFixedDelay(
                new RecurringTask("scheduling-lag", this::checkSchedulingLag),
                0,
                (long) (limits.schedulingLagCheckSeconds() * MICROS_PER_SECOND),
                TimeUnit.MICROSECONDS);
        timer.scheduleWithFixedDelay(
                new RecurringTask("counters", countersLog),
                COUNTERS_INTERVAL_SECONDS,
                COUNTERS_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        MonotonicClock clock = parts.clock();
        parts.eligibility()
                .ifPresent(eligibility -> timer.scheduleWithFixedDelay(
                        new RecurringTask("migration-status", new MigrationStatusLog(eligibility, clock)),
                        MIGRATION_INTERVAL_SECONDS,
                        MIGRATION_INTERVAL_SECONDS,
                        TimeUnit.SECONDS));
        timer.scheduleWithFixedDelay(
                new RecurringTask("client-sweep", () -> parts.fronts().forEach(HttpListener::sweep)),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                new RecurringTask("engine-sweep", parts.engineConnections()::closeIdle),
                ENGINE_SWEEP_INTERVAL_SECONDS,
                ENGINE_SWEEP_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    private void checkSchedulingLag() {
        wallClockMonitor.check();
        parts.instruments().cacheHolds().check(parts.clock().now());
        parts.lagMonitor().probe();
        parts.router().admitQueued();
    }

    /**
     * Starts all parts; clients are let in last.
     *
     * @return the port of the platform's front
     * @throws IOException where an address is taken or not this host's
     */
    synchronized int start() throws IOException, InterruptedException {
        parts.cachedEndpoints().ifPresent(parts.endpointUpdates());
        parts.endpointWatcher().moveTo(config.discovery().address());
        DaemonThreads.create(parts.endpointWatcher(), "discovery").start();
        DaemonThreads.create(this::runRoutingTimers, "routing-timers").start();
        int port = listen("platform", parts.platformFront(), config.listen());
        if (chat.isPresent()) {
            TranslationWarmup.run(chat.get().settings().engines().stream()
                    .map(Generation::format)
                    .distinct()
                    .toList());
            listen("chat", parts.chatFront().orElseThrow(), chat.get().listen());
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
        RecurringTask.Body timers = parts.router()::runTimers;
        try {
            while (true) {
                RecurringTask.runGuarded("routing-timers", timers);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@code task} on a thread of its own about once a second while discovery does not answer. */
    void whileDiscoveryIsLost(Runnable task) {
        timer.scheduleWithFixedDelay(
                new RecurringTask("configuration", () -> {
                    if (parts.endpointWatcher().lastCallFailed()) {
                        DaemonThreads.create(task, "configuration").start();
                    }
                }),
                DISCOVERY_CHECK_INTERVAL_SECONDS,
                DISCOVERY_CHECK_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    /**
     * Takes up the address of discovery of a new configuration. What else it says takes effect at the next start, but
     * all of it is checked, so that a file with faults changes nothing.
     *
     * @throws dunlinladder.transport.json.InvalidInputException where the configuration's own list has a fault
     */
    void reload(GatewayConfig next) {
        parts.readCachedEndpoints(next);
        parts.endpointWatcher().moveTo(next.discovery().address());
    }

    /**
     * Stops in order: the front is asked to send clients elsewhere, nothing new is accepted, what was accepted is
     * finished, and the connections are closed, each in the time that {@link Limits.ShutdownTimes} gives. A start in
     * progress is waited for.
     *
     * @return false, and nothing done, where the gateway is not running
     */
    synchronized boolean stop() throws InterruptedException, IOException {
        if (state != LifecycleState.RUNNING) {
            return false;
        }
        LOG.info("event=stopping requests={}", parts.dispatcher().activeRequests());
        long stoppingSince = System.nanoTime();
        drain();
        stopAccepting();
        finishRequests(stoppingSince);
        awaitClientConnections(stoppingSince);
        parts.fronts().forEach(HttpListener::close);
        state = LifecycleState.CLOSED;
        countersLog.logAnyway();
        LOG.info("event=stopped");
        return true;
    }

    /** Only {@code /up} says no at first, as connections keep coming until the front has seen it. */
    private void drain() throws InterruptedException {
        state = LifecycleState.DRAINING;
        Thread.sleep((long) (limits.shutdown().drainSeconds() * MILLIS_PER_SECOND));
    }

    private void stopAccepting() throws InterruptedException {
        state = LifecycleState.CLOSING;
        for (HttpListener front : parts.fronts()) {
            front.stopListening();
        }
    }

    /**
     * Releases are waited for as well: engines hold a KV cache until a release of it has arrived. At their time the
     * requests without a stream are answered, whatever hangs; a stream lasts as long as its engine writes it.
     */
    private void finishRequests(long stoppingSince) throws InterruptedException {
        while (parts.dispatcher().activeRequests() > 0 || parts.engineClient().openReleases() > 0) {
            closeIdleConnections();
            if (isPast(stoppingSince, limits.shutdown().finalAnswerSeconds())) {
                parts.dispatcher().expireRequests();
            }
            if (isPast(stoppingSince, limits.shutdown().exitSeconds())
                    && parts.dispatcher().activeRequests() == 0) {
                LOG.warn(
                        "event=releases_given_up releases={}",
                        parts.engineClient().openReleases());
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    /**
     * Connections that only send a request are closed at their time, those that take an answer may stall for a bound.
     */
    private void awaitClientConnections(long stoppingSince) throws InterruptedException {
        while (!closeIdleConnections()) {
            boolean late = isPast(stoppingSince, limits.shutdown().exitSeconds());
            boolean stalled = isPast(stoppingSince, limits.shutdown().exitSeconds() + limits.stallSeconds());
            if (stalled || late && parts.fronts().stream().noneMatch(HttpListener::isAnswering)) {
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    private static boolean isPast(long sinceNanos, double seconds) {
        return System.nanoTime() - sinceNanos > seconds * NANOS_PER_SECOND;
    }

    /** Closes the clients' connections without a request; true when no connection is left. */
    private boolean closeIdleConnections() {
        boolean noneLeft = true;
        for (HttpListener front : parts.fronts()) {
            noneLeft &= front.closeIdle();
        }
        return noneLeft;
    }
}

package dunlinladder.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** The processes of a run: gateways with faults of the machine, engines, and discovery within this process. */
final class SoakFleet implements AutoCloseable {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long TOLD_NANOS = (long) (6 * NANOS_PER_SECOND);
    private static final double PUBLISHED_SECONDS = 0.1;
    private static final int ENGINES_PER_PREFILL = 3;
    private static final int SOCKETS = 1024;
    private static final List<String> ALARMS = List.of(
            "event=invariant_violated",
            "event=policy_error",
            "event=request_error",
            "event=task_failed",
            "reason=rerun_forbidden",
            "event=reject_forbidden",
            "OutOfMemoryError");

    /** Engines that no fault takes away at any time: what is held can be released at them. */
    private static final int SOUND_ENGINES = 3;

    /** One engine behind its link, and its state in the list. */
    final class Engine implements FaultyLink.Observer {
        final SoakProcess process;
        final FaultyLink link;
        final String name;
        final boolean prefills;
        private volatile String health = "active";
        private boolean away;

        Engine(SoakProcess process, String name, boolean prefills) throws IOException {
            this.process = process;
            this.link = new FaultyLink(process.port, this);
            this.name = name;
            this.prefills = prefills;
        }

        @Override
        public void sent(String id, double timeout) {
            record.events.add(new SoakEvent(System.nanoTime(), SoakEvent.Kind.SENT, id, name, timeout));
        }

        @Override
        public void answered(String id) {
            record.events.add(new SoakEvent(System.nanoTime(), SoakEvent.Kind.ANSWERED, id, name, 0));
        }

        @Override
        public void givenUp(String id) {
            record.events.add(new SoakEvent(System.nanoTime(), SoakEvent.Kind.GIVEN_UP, id, name, 0));
        }

        /** Claims it for a fault that takes it away; false where another one has, or too few would be left. */
        boolean claim() {
            synchronized (engines) {
                long sound = engines.stream().filter(engine -> !engine.away).count();
                if (away || sound <= SOUND_ENGINES) {
                    return false;
                }
                away = true;
                return true;
            }
        }

        void release() {
            synchronized (engines) {
                away = false;
            }
        }

        private String entry() {
            return RunningGateway.endpoint(link.address(), prefills ? "prompt" : "answer", health)
                    .replaceFirst("\"host\":\"[^\"]*\"", "\"host\":\"" + name + "\"");
        }
    }

    /** One gateway, by its place in the fleet; its process changes with each restart. */
    final class Gateway {
        final int number;
        final MachineFaults faults = new MachineFaults();
        private final Path configuration = Files.createTempFile("soak-gateway", ".json");
        volatile SoakProcess process;
        private boolean restarting;

        Gateway(int number) throws IOException {
            this.number = number;
        }

        String name() {
            return "gateway-" + number;
        }

        /** Claims it for a restart; false where one is under way. */
        synchronized boolean claim() {
            boolean free = !restarting;
            restarting = true;
            return free;
        }

        synchronized void release() {
            restarting = false;
        }

        void start() throws IOException {
            Files.writeString(configuration, configurationText());
            process = SoakProcess.start(
                    gatewayClassPath,
                    List.of("dunlinladder.lifecycle.Main", "serve", "--state", "absent"),
                    environment(),
                    this::log);
        }

        private Map<String, String> environment() {
            Map<String, String> environment = new java.util.HashMap<>(faults.environment());
            environment.put("RELAY_LISTEN", "127.0.0.1:0");
            environment.put("RELAY_DISCOVERY", discovery.address());
            environment.put("RELAY_CONFIG", configuration.toString());
            return environment;
        }

        private String configurationText() {
            return "{\"discovery\":\"" + discovery.address() + "\",\"name\":\"n" + number + "\",\"seed\":\""
                    + Long.toHexString(seed + number) + "\",\"known\":" + list(1, engines)
                    + ",\"limits\":{\"sockets\":" + SOCKETS + "},\"settings\":" + plan.settings() + "}";
        }

        private void log(String line) {
            logs.add(name() + " " + line);
            if (ALARMS.stream().anyMatch(line::contains)) {
                record.alarms.add(name() + " " + line);
            }
        }
    }

    final SoakRecord record;
    final StubServer discovery = new StubServer(StubServer.Role.DISCOVERY);
    final List<Engine> engines = new CopyOnWriteArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    final List<String> logs = new CopyOnWriteArrayList<>();
    final SoakPlan plan;
    private final SoakCaches caches = new SoakCaches();
    private final String gatewayClassPath;
    private final long seed;
    private final AtomicInteger enginesStarted = new AtomicInteger();
    /** When the traffic ends. */
    volatile long end;
    /** When discovery was silent last; what it has to tell counts as told later then. */
    private long discoverySilentUntil = System.nanoTime() - TOLD_NANOS;

    private int version = 1;

    /**
     * Starts all processes: a third of the engines prefill.
     *
     * @param gatewayClassPath where the gateways' classes are
     */
    SoakFleet(SoakRecord record, long seed, SoakPlan plan, String gatewayClassPath) throws IOException {
        this.record = record;
        this.seed = seed;
        this.plan = plan;
        this.gatewayClassPath = gatewayClassPath;
        for (int i = 0; i < plan.engines(); i++) {
            startEngine(i % ENGINES_PER_PREFILL == 0);
        }
        for (int i = 0; i < plan.gateways(); i++) {
            Gateway gateway = new Gateway(i);
            gateways.add(gateway);
            gateway.faults.setWallClockOffset(Duration.ofNanos((long) (plan.clockErrorSeconds() * NANOS_PER_SECOND)));
            gateway.start();
        }
    }

    /** Starts an engine; the list has it once it is published. */
    Engine startEngine(boolean prefills) throws IOException {
        String name = "engine-" + enginesStarted.getAndIncrement();
        SoakProcess process = SoakProcess.start(
                List.of(
                        "dunlinladder.it.SoakEngine",
                        prefills ? "prefill" : "decode",
                        name,
                        Long.toString(seed + name.hashCode()),
                        Integer.toString(caches.port())),
                Map.of(),
                this::engineLine);
        Engine engine = new Engine(process, name, prefills);
        engines.add(engine);
        return engine;
    }

    private void engineLine(String line) {
        if (SoakEvent.isEvent(line)) {
            record.events.add(SoakEvent.parse(line));
        }
    }

    private static String list(int version, List<Engine> engines) {
        return "{\"seq\":" + version + ",\"whole\":" + (version == 1) + ",\"hosts\":["
                + String.join(",", engines.stream().map(Engine::entry).toList()) + "]}";
    }

    /** Publishes an engine with this health; returns when this counts as told to every gateway. */
    synchronized long publish(Engine engine, String health) {
        engine.health = health;
        version++;
        discovery.publish(list(version, List.of(engine)));
        if (health.equals("left")) {
            engines.remove(engine);
        }
        long now = System.nanoTime();
        // Standing: "a change counts as told at the latest 6 s after discovery had it and could be reached".
        boolean mayBeLate = now - discoverySilentUntil < TOLD_NANOS;
        return mayBeLate ? Math.max(now, discoverySilentUntil) + TOLD_NANOS : now;
    }

    /** Has discovery be silent for so long; watches end. */
    void silenceDiscovery(double seconds) throws IOException {
        synchronized (this) {
            // What was published just now is with the gateways first.
            SoakFaults.pause(PUBLISHED_SECONDS);
            discoverySilentUntil = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
            discovery.setUnresponsive(true);
            discovery.closeConnections();
        }
        SoakFaults.pause(seconds);
        discovery.setUnresponsive(false);
    }

    /** Seconds until the traffic ends. */
    double secondsLeft() {
        return Math.max(0, (end - System.nanoTime()) / NANOS_PER_SECOND);
    }

    Engine anyEngine(Random random) {
        return engines.get(random.nextInt(engines.size()));
    }

    Gateway anyGateway(Random random) {
        return gateways.get(random.nextInt(gateways.size()));
    }

    @Override
    public void close() throws IOException {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.kill();
            }
            gateway.faults.close();
            Files.deleteIfExists(gateway.configuration);
        }
        for (Engine engine : engines) {
            engine.process.kill();
            engine.link.close();
        }
        discovery.close();
        caches.close();
    }
}

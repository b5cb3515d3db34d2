package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Lifecycle;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Idempotence;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Simulates several gateways without shared state, their engines and their clients in virtual time. An engine prefills
 * one prompt at a time and runs several streams at once. Engines drain, crash, start cold and fail attempts, and
 * endpoint updates arrive late. Every action of the routers is checked against the rules at once, and each violation is
 * recorded with its time.
 */
final class VirtualFleet {

    /** Seconds before the client's deadline at which an attempt without a first token ends, as on sockets. */
    private static final double ANSWER_MARGIN_SECONDS = 0.04;

    /**
     * Configuration of the simulation.
     *
     * @param enginesByRole number of engines of each role, in the order of {@link Role}
     * @param requestsPerSecond mean rate of arrivals
     * @param prefillSecondsPerKilotoken seconds to prefill a thousand tokens
     * @param streamSeconds duration of a stream in seconds
     * @param streamsPerEngine maximum number of streams that an engine runs at once
     * @param faultProbability probability that a decode attempt ends with an error or a reset; the probability that an
     *     attempt of either kind cannot connect is a third of it
     * @param maxUpdateDelay maximum delay of an endpoint update in seconds
     * @param changeInterval seconds between two drains or crashes
     */
    record Config(
            RoutingSettings settings,
            int[] enginesByRole,
            double requestsPerSecond,
            double prefillSecondsPerKilotoken,
            double streamSeconds,
            int streamsPerEngine,
            double faultProbability,
            double maxUpdateDelay,
            double changeInterval) {}

    private record ScheduledTask(double dueAt, long sequence, Runnable task) {}

    private static final class Engine {
        final String id;
        final int kind;
        final int rack;
        /** Clock time in seconds of its last start; 0 if it has run since before the simulation. */
        double startedAt;

        boolean up = true;
        /** Clock time in seconds at which all its prefills so far are done. */
        double queueEmptyAt;

        int runningStreams;
        /** Clock times in seconds of the latest sends to it while it is warming up. */
        final List<Double> recentSends = new ArrayList<>();

        Engine(String id, int kind, int rack) {
            this.id = id;
            this.kind = kind;
            this.rack = rack;
        }
    }

    private static final class ClientRequest {
        int gateway;
        int serviceClass;
        long session;
        boolean served;
        Idempotence idempotence;
        double promptTokens;
        double deadline;
        int attemptCount;
        /** Number of final answers; a disconnect and the end of a stream count as one each. */
        int finalAnswers;
        /** Whether an attempt is in flight. */
        boolean inFlight;

        boolean streaming;
        boolean mayHaveRun;
        /** Whether the request was lost in the restart of its gateway. */
        boolean lost;

        Engine cacheEngine;
        double cacheHeldSince;
    }

    /** An attempt with its number and the clock time at which it was sent, in seconds. */
    private record Attempt(RoutingAction.Forward forward, ClientRequest request, int number, double sentAt) {}

    private final List<String> violations = new ArrayList<>();
    int servedCount;
    int requestCount;
    private final Config config;
    private final RoutingSettings settings;
    private final Random random;
    private final List<Router> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, ClientRequest> clientRequests = new HashMap<>();
    /** By gateway, then engine: clock time, in seconds, of the update that the engine drains or has left. */
    private final List<Map<String, Double>> removedAt = new ArrayList<>();
    /** By gateway: clock time, in seconds, at which its latest endpoint update arrives. */
    private final double[] lastUpdateAt;

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::sequence));
    private long nextSequence;
    private double now = 1000;
    /** Skew of the traffic: 1 means an even distribution; above 1, the first gateways get more than their part. */
    private double skewExponent = 1;
    /**
     * Whether a cold engine may get a random excess of 2 * sqrt(N) + 2 sends over its budget of N; the specification of
     * the simulator allows it too.
     */
    private boolean allowsRandomExcess;
    /** Maximum number of recent sends to a cold engine, as a fraction of the allowed number. */
    double maxBudgetUse;

    VirtualFleet(Config config, long seed) {
        this.config = config;
        this.settings = config.settings;
        this.random = new Random(seed);
        for (int kind = 0; kind < config.enginesByRole.length; kind++) {
            for (int i = 0; i < config.enginesByRole[kind]; i++) {
                engines.add(new Engine("e" + engines.size(), kind, engines.size() % 3));
            }
        }
        lastUpdateAt = new double[settings.gateways()];
        for (int i = 0; i < settings.gateways(); i++) {
            gateways.add(new RoutingPolicy(settings, seed + i));
            removedAt.add(new HashMap<>());
            handle(
                    i,
                    new RoutingEvent.EndpointsChanged(
                            RoutingEvent.Scope.COMPLETE,
                            engines.stream()
                                    .map(e -> endpoint(e, Lifecycle.ACTIVE))
                                    .toList()));
        }
    }

    /**
     * Simulates arrivals for some seconds and everything that follows from them in at most 30 s more. Then checks that
     * each request has exactly one final answer.
     */
    VirtualFleet run(double seconds) {
        double end = now + seconds;
        for (double arrivalAt = now;
                arrivalAt < end;
                arrivalAt += -StrictMath.log(1 - random.nextDouble()) / config.requestsPerSecond) {
            schedule(arrivalAt - now, this::generateRequest);
        }
        for (double changeAt = now + config.changeInterval; changeAt < end; changeAt += config.changeInterval) {
            schedule(changeAt - now, this::changeEngine);
        }
        double lastTaskAt = end + 30;
        while (!tasks.isEmpty() && tasks.peek().dueAt < lastTaskAt) {
            ScheduledTask task = tasks.poll();
            now = task.dueAt;
            task.task.run();
        }
        clientRequests.forEach((id, request) ->
                check(request.finalAnswers == 1, id, "has " + request.finalAnswers + " final answers"));
        return this;
    }

    /** Returns the first five violations, each with its time in seconds and its request or engine. */
    List<String> violations() {
        return violations.subList(0, Math.min(5, violations.size()));
    }

    /**
     * Returns the served fraction of the requests of a service class, and that of the tenth of them with the longest
     * prompts.
     */
    double[] servedFractions(int serviceClass) {
        List<ClientRequest> all = clientRequests.values().stream()
                .filter(request -> request.serviceClass == serviceClass)
                .sorted(Comparator.comparingDouble(request -> -request.promptTokens))
                .toList();
        return new double[] {servedFraction(all), servedFraction(all.subList(0, all.size() / 10))};
    }

    private static double servedFraction(List<ClientRequest> requests) {
        return requests.stream().filter(request -> request.served).count() / (double) requests.size();
    }

    /** Returns the fraction of sessions without any served request, minus the fraction expected by chance. */
    double excessOfUnservedSessions() {
        double unservedFraction = 1 - servedCount / (double) requestCount;
        Map<Long, List<ClientRequest>> sessions =
                clientRequests.values().stream().collect(Collectors.groupingBy(request -> request.session));
        double excess = 0;
        for (List<ClientRequest> session : sessions.values()) {
            excess += session.stream().noneMatch(request -> request.served) ? 1 : 0;
            excess -= StrictMath.pow(unservedFraction, session.size());
        }
        return excess / sessions.size();
    }

    private void schedule(double delay, Runnable task) {
        tasks.add(new ScheduledTask(now + delay, nextSequence++, task));
    }

    private void check(boolean holds, String id, String violation) {
        if (!holds) {
            violations.add(String.format("%.3f %s %s", now - 1000, id, violation));
        }
    }

    private RoutingEvent.Endpoint endpoint(Engine engine, Lifecycle lifecycle) {
        return new RoutingEvent.Endpoint(engine.id, 0, engine.kind, engine.rack, lifecycle, 1, engine.startedAt);
    }

    // ---- Clients ----

    private void generateRequest() {
        ClientRequest request = new ClientRequest();
        String id = "q" + requestCount++;
        int serviceClass = random.nextInt(settings.classes().size());
        request.gateway = (int) (gateways.size() * StrictMath.pow(random.nextDouble(), skewExponent));
        request.serviceClass = serviceClass;
        request.session = random.nextInt(200);
        request.idempotence = settings.classes().get(serviceClass).idempotence();
        request.promptTokens = 200 + random.nextInt(2000) * (random.nextInt(50) == 0 ? 10 : 1);
        request.deadline = now + 6;
        clientRequests.put(id, request);
        schedule(6, () -> check(request.finalAnswers > 0 || request.streaming, id, "has no answer by its deadline"));
        handle(
                request.gateway,
                new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                        id,
                        serviceClass,
                        0,
                        request.session,
                        request.deadline,
                        0,
                        1 + random.nextInt(5),
                        request.promptTokens,
                        100,
                        100,
                        false,
                        false,
                        RoutingEvent.Request.ANY_ENGINE)));
        if (random.nextInt(100) == 0) {
            schedule(random.nextDouble() * 2, () -> disconnect(id, request));
        }
    }

    private void disconnect(String id, ClientRequest request) {
        if (request.finalAnswers == 0 && !request.streaming) {
            request.finalAnswers++;
            handle(request.gateway, new RoutingEvent.ClientDisconnected(id));
        }
    }

    private void recordFinalAnswer(String id) {
        ClientRequest request = clientRequests.get(id);
        request.finalAnswers++;
        check(request.finalAnswers == 1, id, "gets another final answer");
        check(now <= request.deadline, id, "gets its final answer after its deadline");
        check(!request.inFlight, id, "gets its final answer with an attempt in flight");
    }

    // ---- Gateways ----

    private void handle(int gateway, RoutingEvent event) {
        for (RoutingAction action : gateways.get(gateway).handle(now, event)) {
            if (action instanceof RoutingAction.Forward forward) {
                startAttempt(gateway, forward);
            } else if (action instanceof RoutingAction.Reject reject) {
                ClientRequest request = clientRequests.get(reject.id());
                check(
                        !(request.idempotence == Idempotence.UNSAFE && request.mayHaveRun),
                        reject.id(),
                        "is rejected, but may have run");
                recordFinalAnswer(reject.id());
            } else if (action instanceof RoutingAction.Fail fail) {
                recordFinalAnswer(fail.id());
            } else if (action instanceof RoutingAction.ReleaseCache release
                    && !clientRequests.get(release.id()).inFlight) {
                clientRequests.get(release.id()).cacheEngine = null;
            } else if (action instanceof RoutingAction.SetTimer timer) {
                schedule(timer.delay(), () -> handle(gateway, new RoutingEvent.TimerFired(timer.token())));
            }
        }
    }

    private void startAttempt(int gateway, RoutingAction.Forward forward) {
        ClientRequest request = clientRequests.get(forward.id());
        Engine engine = engines.stream()
                .filter(e -> e.id.equals(forward.engine()))
                .findFirst()
                .orElseThrow();
        Role role = settings.roleByKind().get(engine.kind);
        check(request.finalAnswers == 0 && !request.streaming, forward.id(), "is forwarded after its end");
        check(!request.inFlight, forward.id(), "is forwarded with an attempt in flight");
        check(
                request.idempotence != Idempotence.UNSAFE || role == Role.PREFILL || !request.mayHaveRun,
                forward.id(),
                "may run a second time");
        check(request.attemptCount < settings.maxAttempts(), forward.id(), "has too many attempts");
        check(
                now - removedAt.get(gateway).getOrDefault(engine.id, now)
                        <= settings.rules().stopSendingWithin(),
                forward.id(),
                "is forwarded to " + engine.id + " too long after it began to drain or left");
        Attempt attempt = new Attempt(forward, request, request.attemptCount++, now);
        request.inFlight = true;
        double timeoutAt = forward.timeout() > 0
                ? Math.min(now + forward.timeout(), request.deadline - ANSWER_MARGIN_SECONDS)
                : request.deadline - ANSWER_MARGIN_SECONDS;
        if (!engine.up || random.nextDouble() < config.faultProbability / 3) {
            // a third of the failed connects time out, the others are refused
            boolean silent = random.nextInt(3) == 0;
            schedule(
                    silent ? Math.min(0.25, Math.max(0, timeoutAt - now)) : 0.001,
                    () -> endAttempt(attempt, Status.CONNECT_FAILED, 0));
        } else if (role == Role.PREFILL) {
            checkSlowStart(engine);
            prefill(attempt, engine, timeoutAt);
        } else {
            checkSlowStart(engine);
            decode(attempt, engine, role, timeoutAt);
        }
    }

    /** Returns the fraction of its full speed that an engine has; it rises while the engine is warming up. */
    private double speed(Engine engine) {
        double startSpeed = settings.rules().coldFrom();
        return engine.startedAt == 0
                ? 1
                : Math.min(
                        1,
                        startSpeed
                                + (1 - startSpeed)
                                        * (now - engine.startedAt)
                                        / settings.rules().cold());
    }

    /**
     * Counts a send to an engine that is warming up, and checks that all gateways together do not overload the engine.
     * Sends count as prefills or streams of mean size.
     */
    private void checkSlowStart(Engine engine) {
        if (engine.startedAt == 0 || now - engine.startedAt > settings.rules().cold()) {
            return;
        }
        engine.recentSends.add(now);
        engine.recentSends.removeIf(sentAt -> sentAt < now - settings.rules().tipAfter());
        double secondsPerSend = settings.roleByKind().get(engine.kind) == Role.PREFILL
                ? config.prefillSecondsPerKilotoken * 1.4
                : config.streamSeconds / config.streamsPerEngine;
        double budget = settings.rules().fallMultiple()
                * speed(engine)
                / secondsPerSend
                * settings.rules().tipAfter();
        double maxSends = allowsRandomExcess ? budget + 2 * Math.sqrt(budget) + 2 : Math.max(2, budget);
        maxBudgetUse = Math.max(maxBudgetUse, engine.recentSends.size() / maxSends);
        check(
                engine.recentSends.size() <= maxSends,
                engine.id,
                "is overloaded in slow start: " + engine.recentSends.size() + " sends, at most " + (int) maxSends);
    }

    private void prefill(Attempt attempt, Engine engine, double timeoutAt) {
        ClientRequest request = attempt.request;
        engine.queueEmptyAt = Math.max(now, engine.queueEmptyAt)
                + request.promptTokens / 1000 * config.prefillSecondsPerKilotoken / speed(engine);
        double startedAt = engine.startedAt;
        if (engine.queueEmptyAt > timeoutAt) {
            schedule(Math.max(0, timeoutAt - now), () -> endAttempt(attempt, Status.TIMEOUT, 0));
            return;
        }
        schedule(engine.queueEmptyAt - now, () -> {
            boolean alive = engine.up && engine.startedAt == startedAt;
            if (alive && request.inFlight) {
                request.cacheEngine = engine;
            }
            endAttempt(attempt, alive ? Status.PREFILLED : Status.RESET, 0);
        });
    }

    /** Decodes at an engine; a mixed engine prefills first if the KV cache is not available. */
    private void decode(Attempt attempt, Engine engine, Role role, double timeoutAt) {
        ClientRequest request = attempt.request;
        boolean cacheAvailable = request.cacheEngine != null && request.cacheEngine.up;
        if (!cacheAvailable && role == Role.DECODE) {
            schedule(0.005, () -> endAttempt(attempt, Status.FULL, 1));
            return;
        }
        if (engine.runningStreams >= config.streamsPerEngine) {
            schedule(0.005, () -> endAttempt(attempt, Status.FULL, 0));
            return;
        }
        engine.runningStreams++;
        double firstTokenDelay = 0.02
                + (cacheAvailable ? 0.02 : request.promptTokens / 1000 * config.prefillSecondsPerKilotoken)
                        / speed(engine);
        double streamDuration = config.streamSeconds / speed(engine);
        schedule(firstTokenDelay + streamDuration, () -> engine.runningStreams--);
        Status fault = random.nextDouble() > config.faultProbability
                ? null
                : random.nextBoolean() ? Status.ERROR : Status.RESET;
        if (fault != null || now + firstTokenDelay > timeoutAt) {
            schedule(Math.max(0, Math.min(firstTokenDelay, timeoutAt - now)), () -> {
                request.mayHaveRun = true;
                endAttempt(attempt, fault != null ? fault : Status.TIMEOUT, 0);
            });
            return;
        }
        schedule(firstTokenDelay, () -> beginStream(attempt, streamDuration));
    }

    private void beginStream(Attempt attempt, double streamDuration) {
        ClientRequest request = attempt.request;
        if (!request.inFlight || request.finalAnswers > 0) {
            return;
        }
        request.streaming = true;
        request.mayHaveRun = true;
        request.cacheEngine = null;
        RoutingAction.Forward forward = attempt.forward;
        handle(
                request.gateway,
                new RoutingEvent.FirstTokenReceived(
                        forward.id(), attempt.number, forward.engine(), now - attempt.sentAt));
        schedule(streamDuration, () -> {
            if (request.lost) {
                return;
            }
            request.finalAnswers++;
            request.served = true;
            servedCount++;
            endAttempt(attempt, Status.OK, 0);
        });
    }

    /** Ends an attempt. A KV cache that its request still holds must be used or released in time from now on. */
    private void endAttempt(Attempt attempt, Status status, double note) {
        ClientRequest request = attempt.request;
        RoutingAction.Forward forward = attempt.forward;
        if (!request.inFlight) {
            return;
        }
        request.inFlight = false;
        request.cacheHeldSince = now;
        double heldSince = now;
        if (request.cacheEngine != null) {
            schedule(
                    settings.rules().releaseWithin() + 0.001,
                    () -> check(
                            request.cacheEngine == null
                                    || request.inFlight
                                    || request.cacheHeldSince != heldSince
                                    || !request.cacheEngine.up,
                            forward.id(),
                            "has a KV cache that is held too long"));
        }
        boolean closed = request.finalAnswers > 0 || request.streaming;
        handle(
                request.gateway,
                new RoutingEvent.AttemptEnded(
                        forward.id(),
                        attempt.number,
                        forward.engine(),
                        status,
                        now - attempt.sentAt,
                        closed,
                        note,
                        Map.of(),
                        status.mayHaveArrived()));
    }

    // ---- Changes of the fleet ----

    /**
     * Skews the traffic: with an exponent above 1, the first gateways get several times the mean. The check of cold
     * engines then allows a random excess over their budget.
     */
    VirtualFleet withUnevenTraffic(double exponent) {
        skewExponent = exponent;
        allowsRandomExcess = true;
        return this;
    }

    /** After {@code delay} seconds, stops some engines of each role at once; they start cold together seconds later. */
    VirtualFleet withEngineRestarts(double delay, int perRole) {
        for (Role role : Role.values()) {
            schedule(
                    delay,
                    () -> engines.stream()
                            .filter(e -> e.up && settings.roleByKind().get(e.kind) == role)
                            .limit(perRole)
                            .toList()
                            .forEach(this::restartEngine));
        }
        return this;
    }

    /**
     * After {@code delay} seconds, restarts a fraction of the gateways one after the other. A restarted gateway has
     * only the list of endpoints.
     */
    VirtualFleet withGatewayRestarts(double delay, double fraction) {
        for (int i = 0; i < fraction * gateways.size(); i++) {
            int gateway = i;
            schedule(delay + i * 0.05, () -> restartGateway(gateway));
        }
        return this;
    }

    /** Restarts a gateway. Its attempts in flight are lost, and its clients are disconnected. */
    private void restartGateway(int gateway) {
        clientRequests.values().stream()
                .filter(request -> request.gateway == gateway)
                .forEach(request -> {
                    request.lost = true;
                    request.finalAnswers = 1;
                    request.inFlight = false;
                    request.cacheEngine = null;
                });
        removedAt.get(gateway).clear();
        gateways.set(gateway, new RoutingPolicy(settings, random.nextLong()));
        handle(
                gateway,
                new RoutingEvent.EndpointsChanged(
                        RoutingEvent.Scope.COMPLETE,
                        engines.stream()
                                .filter(e -> e.up)
                                .map(e -> endpoint(e, Lifecycle.ACTIVE))
                                .toList()));
    }

    /** Drains or crashes a random engine; does nothing if it is not up. */
    private void changeEngine() {
        Engine engine = engines.get(random.nextInt(engines.size()));
        if (!engine.up) {
            return;
        }
        if (random.nextBoolean()) {
            sendEndpointUpdate(engine, Lifecycle.LEAVING);
            schedule(config.maxUpdateDelay + 1, () -> restartEngine(engine));
        } else {
            restartEngine(engine);
        }
    }

    /** Stops an engine; it starts again, cold, two seconds after all gateways have the update. */
    private void restartEngine(Engine engine) {
        engine.up = false;
        sendEndpointUpdate(engine, Lifecycle.LEFT);
        schedule(config.maxUpdateDelay + 2, () -> {
            engine.up = true;
            engine.startedAt = now;
            engine.queueEmptyAt = now;
            engine.recentSends.clear();
            sendEndpointUpdate(engine, Lifecycle.ACTIVE);
        });
    }

    /** Sends an endpoint update to each gateway with a random delay. Each gateway gets its updates in order. */
    private void sendEndpointUpdate(Engine engine, Lifecycle lifecycle) {
        RoutingEvent.Endpoint endpoint = endpoint(engine, lifecycle);
        for (int i = 0; i < gateways.size(); i++) {
            int gateway = i;
            lastUpdateAt[i] = Math.max(lastUpdateAt[i], now + random.nextDouble() * config.maxUpdateDelay);
            schedule(lastUpdateAt[i] - now, () -> {
                if (lifecycle == Lifecycle.ACTIVE) {
                    removedAt.get(gateway).remove(engine.id);
                } else {
                    removedAt.get(gateway).putIfAbsent(engine.id, now);
                }
                handle(gateway, new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.CHANGES, List.of(endpoint)));
            });
        }
    }
}

package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Lifecycle;
import dunlinladder.routing.RoutingEvent.Scope;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * A rough fleet for {@link GoldenDecisionTraceTest}: gateways, engines and clients in virtual time, with everything
 * that can happen to them in one run. It is to reach all decisions, not to be like any site; it draws in a fixed order
 * from one seed. Changing it changes the digests.
 */
final class GoldenFleet {

    /**
     * What is played.
     *
     * @param engines of each kind
     * @param read seconds to read a thousand tokens
     * @param stream seconds that a stream takes
     * @param slots streams that an engine runs at once
     */
    record Figures(
            RoutingSettings settings,
            int gateways,
            int[] engines,
            int zones,
            int cellsInZone,
            double read,
            double stream,
            int slots,
            long seed) {}

    /** Load against what the readers can do, by five seconds; 0 is a pause. */
    private static final double[] LOADS = {0.3, 0.6, 0.9, 1.6, 0.7, 2.5, 0.4, 0, 0.5, 0.8, 1.2, 0.2};

    private static final double PHASE = 5;
    private static final double OUTAGE_FROM = 42;
    private static final double OUTAGE_TO = 43.5;

    private record ScheduledTask(double at, long number, Runnable task) {}

    private static final class Engine {
        String id;
        int number;
        int kind;
        double born;
        boolean up = true;
        double freeAt;
        int running;
        double slow = 1;
        double connectsAt;
    }

    private static final class ClientRequest {
        int gateway;
        RoutingEvent.Request request;
        Engine cacheEngine;
        int sends;
        boolean out;
        boolean begun;
        boolean done;
    }

    private final Figures figures;
    private final RoutingSettings settings;
    private final BiConsumer<Integer, RoutingAction> seen;
    private final Random random;
    private final List<Router> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, ClientRequest> clientRequests = new HashMap<>();
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::number));
    private final double start = 1000;
    private double now = start;
    private long number;
    private int requests;

    GoldenFleet(Figures figures, BiConsumer<Integer, RoutingAction> seen) {
        this.figures = figures;
        this.settings = figures.settings;
        this.seen = seen;
        this.random = new Random(figures.seed);
        for (int kind = 0; kind < figures.engines.length; kind++) {
            for (int i = 0; i < figures.engines[kind]; i++) {
                engines.add(engine(kind));
            }
        }
        for (int i = 0; i < figures.gateways; i++) {
            gateways.add(new RoutingPolicy(settings, figures.seed * 31 + i));
            list(i, Scope.COMPLETE, engines);
        }
    }

    private Engine engine(int kind) {
        Engine engine = new Engine();
        engine.number = engines.size();
        engine.id = "e" + engine.number;
        engine.kind = kind;
        return engine;
    }

    void play() {
        double end = start + LOADS.length * PHASE;
        in(0, () -> arrivals(end));
        for (double at = 1.3; at < end - start; at += 1.3) {
            in(at, this::change);
        }
        for (double at = 0.9; at < end - start; at += 0.9) {
            in(at, this::news);
        }
        while (!queue.isEmpty() && queue.peek().at < end + 20) {
            ScheduledTask due = queue.poll();
            now = due.at;
            due.task.run();
        }
    }

    private void in(double delay, Runnable task) {
        queue.add(new ScheduledTask(now + Math.max(0, delay), number++, task));
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private Role role(Engine engine) {
        List<Role> roles = settings.roleByKind();
        return engine.kind < roles.size() ? roles.get(engine.kind) : Role.MIXED;
    }

    // ---- Clients ----

    private void arrivals(double end) {
        double load = LOADS[Math.min(LOADS.length - 1, (int) ((now - start) / PHASE))];
        if (load > 0) {
            arrive();
        }
        long readers = engines.stream().filter(e -> role(e) == Role.PREFILL).count();
        double rate = load > 0 ? load * readers / (figures.read * 1.3) : 10;
        if (now < end) {
            in((0.2 + 1.6 * random.nextDouble()) / rate, () -> arrivals(end));
        }
    }

    private void arrive() {
        boolean any = chance(0.9);
        int part = random.nextInt(3);
        long session = random.nextInt(150);
        double prompt = 150 + random.nextInt(2000) * (chance(0.03) ? 10 : 1);
        boolean shared = chance(0.6);
        long prefix = shared ? 1 + (long) (8 * random.nextDouble() * random.nextDouble()) : 0;
        double life = chance(0.1) ? 0.5 + random.nextDouble() : 4 + 3 * random.nextDouble();
        double hint = chance(0.5) ? 1 + 9 * random.nextDouble() : 0;
        RoutingEvent.Request request = new RoutingEvent.Request(
                "q" + requests++,
                random.nextInt(settings.classes().size()),
                random.nextInt(settings.quotas().size() + 2) - 1,
                session,
                now + life,
                hint,
                prefix,
                prompt,
                shared ? prompt * random.nextDouble() : 0,
                20 + random.nextInt(300),
                false,
                false,
                engine -> any || Integer.parseInt(engine.substring(1)) % 3 != part);
        call(random.nextInt(gateways.size()), request);
    }

    private void call(int gateway, RoutingEvent.Request request) {
        ClientRequest clientRequest = new ClientRequest();
        clientRequest.gateway = gateway;
        clientRequest.request = request;
        clientRequests.put(request.id(), clientRequest);
        handle(gateway, new RoutingEvent.RequestArrived(request));
        if (chance(0.03)) {
            in(random.nextDouble() * 2, () -> handle(gateway, new RoutingEvent.RequestArrived(request)));
        }
        if (chance(0.04)) {
            in(random.nextDouble() * 1.5, () -> leave(clientRequest));
        }
    }

    private void leave(ClientRequest clientRequest) {
        if (!clientRequest.done) {
            clientRequest.done = true;
            handle(clientRequest.gateway, new RoutingEvent.ClientDisconnected(clientRequest.request.id()));
        }
    }

    /** A client whose request was refused or failed may ask again, as a new request or the same one. */
    private void answered(String id, double after) {
        ClientRequest clientRequest = clientRequests.get(id);
        clientRequest.done = true;
        RoutingEvent.Request r = clientRequest.request;
        if (chance(0.3)) {
            boolean same = chance(0.5);
            in(
                    0.05 + after,
                    () -> call(
                            clientRequest.gateway,
                            new RoutingEvent.Request(
                                    same ? id : id + "r",
                                    r.serviceClass(),
                                    r.tenant(),
                                    r.session(),
                                    now + 4,
                                    r.hint(),
                                    r.prefix(),
                                    r.promptTokens(),
                                    r.prefixTokens(),
                                    r.maxOut(),
                                    true,
                                    false,
                                    r.eligible())));
        }
    }

    // ---- Gateways ----

    private void handle(int gateway, RoutingEvent event) {
        for (RoutingAction action : gateways.get(gateway).handle(now, event)) {
            seen.accept(gateway, action);
            if (action instanceof RoutingAction.Forward forward) {
                send(clientRequests.get(forward.id()), forward);
            } else if (action instanceof RoutingAction.Reject reject) {
                answered(reject.id(), reject.retryAfter());
            } else if (action instanceof RoutingAction.Fail fail) {
                answered(fail.id(), 0.2);
            } else if (action instanceof RoutingAction.ReleaseCache release) {
                clientRequests.get(release.id()).cacheEngine = null;
            } else if (action instanceof RoutingAction.SetTimer timer) {
                in(timer.delay(), () -> handle(gateway, new RoutingEvent.TimerFired(timer.token())));
            } else if (action instanceof RoutingAction.WatchEndpoints) {
                in(0.05, () -> follow(gateway));
            }
        }
    }

    private void follow(int gateway) {
        list(gateway, chance(0.3) ? Scope.FAILED : Scope.COMPLETE, engines);
    }

    private void send(ClientRequest clientRequest, RoutingAction.Forward forward) {
        Engine engine = engines.get(Integer.parseInt(forward.engine().substring(1)));
        Try attempt = new Try(clientRequest, engine, clientRequest.sends++, now);
        clientRequest.out = true;
        double left = clientRequest.request.expires() - 0.03 - now;
        double limit = forward.timeout() > 0 ? Math.min(forward.timeout(), left) : left;
        boolean outage = now > start + OUTAGE_FROM && now < start + OUTAGE_TO;
        if (!engine.up || outage || now < engine.connectsAt || chance(0.01)) {
            in(chance(0.4) ? Math.min(limit, 0.25) : 0.002, () -> ended(attempt, Status.CONNECT_FAILED, 0));
        } else if (chance(0.004)) {
            in(0.01, () -> ended(attempt, Status.NOT_SENT, 0));
        } else if (chance(0.01)) {
            in(limit, () -> ended(attempt, Status.TIMEOUT, 0));
        } else if (role(engine) == Role.PREFILL) {
            read(attempt, limit);
        } else {
            write(attempt, limit);
        }
    }

    private record Try(ClientRequest clientRequest, Engine engine, int number, double at) {}

    // ---- Engines ----

    private double speed(Engine engine) {
        double age = engine.born == 0 ? 1 : Math.min(1, 0.3 + (now - engine.born) / 12);
        return age / engine.slow;
    }

    private void read(Try attempt, double limit) {
        Engine engine = attempt.engine;
        RoutingEvent.Request request = attempt.clientRequest.request;
        double found = chance(0.5) ? request.prefixTokens() * random.nextDouble() : 0;
        engine.freeAt =
                Math.max(now, engine.freeAt) + (request.promptTokens() - found) / 1000 * figures.read / speed(engine);
        double born = engine.born;
        if (engine.freeAt - now > limit) {
            in(limit, () -> ended(attempt, Status.TIMEOUT, 0));
            return;
        }
        in(engine.freeAt - now, () -> {
            boolean well = engine.up && engine.born == born && !chance(0.01);
            attempt.clientRequest.cacheEngine = well && attempt.clientRequest.out ? engine : null;
            ended(attempt, well ? Status.PREFILLED : chance(0.5) ? Status.RESET : Status.ERROR, well ? found : 0);
        });
    }

    private void write(Try attempt, double limit) {
        Engine engine = attempt.engine;
        ClientRequest clientRequest = attempt.clientRequest;
        boolean held = clientRequest.cacheEngine != null && clientRequest.cacheEngine.up && !chance(0.01);
        if (role(engine) == Role.DECODE && !held && !settings.readInPlace()) {
            in(0.005, () -> ended(attempt, Status.FULL, 1));
        } else if (engine.running >= figures.slots) {
            in(0.005, () -> ended(attempt, Status.FULL, 0));
        } else {
            stream(
                    attempt,
                    limit,
                    0.03 + (held ? 0.02 : clientRequest.request.promptTokens() / 1000 * figures.read) / speed(engine));
        }
    }

    private void stream(Try attempt, double limit, double begins) {
        Engine engine = attempt.engine;
        double lasts = figures.stream * (0.3 + random.nextDouble()) / speed(engine);
        engine.running++;
        in(begins + lasts, () -> engine.running--);
        if (begins > limit || chance(0.02)) {
            Status status = begins > limit ? Status.TIMEOUT : chance(0.5) ? Status.ERROR : Status.RESET;
            in(Math.min(begins, limit), () -> ended(attempt, status, 0));
            return;
        }
        in(begins, () -> begin(attempt));
        Status status = !chance(0.02) ? Status.OK : chance(0.5) ? Status.RESET : Status.TIMEOUT;
        in(
                begins + lasts,
                () -> ended(
                        attempt,
                        status,
                        status == Status.OK ? attempt.clientRequest.request.prefixTokens() * random.nextDouble() : 0));
    }

    private void begin(Try attempt) {
        ClientRequest clientRequest = attempt.clientRequest;
        if (clientRequest.done || !clientRequest.out) {
            return;
        }
        clientRequest.begun = true;
        RoutingEvent.FirstTokenReceived first = new RoutingEvent.FirstTokenReceived(
                clientRequest.request.id(), attempt.number, attempt.engine.id, now - attempt.at);
        handle(clientRequest.gateway, first);
        if (chance(0.02)) {
            handle(clientRequest.gateway, first);
        }
    }

    private void ended(Try attempt, Status status, double note) {
        ClientRequest clientRequest = attempt.clientRequest;
        Status told = clientRequest.done && status != Status.PREFILLED && chance(0.3) ? Status.CANCELLED : status;
        boolean closed = clientRequest.done || clientRequest.begun || told == Status.OK;
        clientRequest.out = false;
        clientRequest.done |= closed;
        RoutingEvent.AttemptEnded outcome = new RoutingEvent.AttemptEnded(
                clientRequest.request.id(),
                attempt.number,
                attempt.engine.id,
                told,
                now - attempt.at,
                closed,
                note,
                report(attempt.engine),
                told.mayHaveArrived());
        handle(clientRequest.gateway, outcome);
        if (chance(0.02)) {
            in(random.nextDouble(), () -> handle(clientRequest.gateway, outcome));
        }
    }

    private Map<String, Double> report(Engine engine) {
        double held = Math.min(1, engine.running / (double) figures.slots + 0.1 * random.nextDouble());
        double waits = Math.max(0, engine.freeAt - now) / figures.read;
        return switch (random.nextInt(6)) {
            case 0, 1 -> Map.of();
            case 2 -> Map.of("x0", held);
            case 3 -> Map.of("x1", waits);
            default -> Map.of("x0", held, "x1", waits);
        };
    }

    // ---- Changes of the fleet ----

    private RoutingEvent.Endpoint member(Engine engine, Lifecycle lifecycle) {
        int cell = engine.number % (figures.zones * figures.cellsInZone);
        return new RoutingEvent.Endpoint(
                engine.id,
                cell % figures.zones,
                engine.kind,
                cell,
                lifecycle,
                engine.number % 4 == 0 ? 0.7 : 1,
                engine.born);
    }

    private void list(int gateway, Scope scope, List<Engine> named) {
        handle(
                gateway,
                new RoutingEvent.EndpointsChanged(
                        scope,
                        scope == Scope.FAILED
                                ? List.of()
                                : named.stream()
                                        .filter(e -> e.up)
                                        .map(e -> member(e, Lifecycle.ACTIVE))
                                        .toList()));
    }

    /** A list of each scope now and then; some leave an engine out, which a later one names again. */
    private void news() {
        int gateway = random.nextInt(gateways.size());
        int out = random.nextInt(engines.size());
        List<Engine> named = engines.stream().filter(e -> e.number != out).toList();
        switch (random.nextInt(5)) {
            case 0 -> list(gateway, Scope.CACHED, engines);
            case 1 -> list(gateway, Scope.FAILED, engines);
            case 2 -> {
                list(gateway, Scope.COMPLETE, named);
                in(1.1, () -> list(gateway, Scope.COMPLETE, engines));
            }
            case 3 -> list(gateway, Scope.CHANGES, engines.subList(0, out));
            default -> handle(gateway, new RoutingEvent.TimerFired(1));
        }
    }

    private void change() {
        Engine engine = engines.get(random.nextInt(engines.size()));
        switch (random.nextInt(6)) {
            case 0 -> {
                tell(engine, Lifecycle.LEAVING);
                in(1.5, () -> down(engine, true));
            }
            case 1 -> down(engine, true);
            case 2 -> down(engine, false);
            case 3 -> engine.connectsAt = now + 2;
            default -> {
                engine.slow = 3 + random.nextInt(8);
                in(3, () -> engine.slow = 1);
            }
        }
    }

    /** It comes back cold under the same id, or as one that started long ago. */
    private void down(Engine engine, boolean told) {
        if (!engine.up) {
            return;
        }
        engine.up = false;
        if (told) {
            tell(engine, Lifecycle.LEFT);
        }
        in(told ? 1.5 : 0.5, () -> {
            engine.up = true;
            engine.born = chance(0.85) ? now : 0;
            engine.freeAt = now;
            engine.slow = 1;
            tell(engine, Lifecycle.ACTIVE);
        });
    }

    private void tell(Engine engine, Lifecycle lifecycle) {
        RoutingEvent.Endpoint member = member(engine, lifecycle);
        for (int i = 0; i < gateways.size(); i++) {
            int gateway = i;
            in(
                    0.3 * random.nextDouble(),
                    () -> handle(gateway, new RoutingEvent.EndpointsChanged(Scope.CHANGES, List.of(member))));
        }
    }
}

package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Lifecycle;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
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
 * Several gateways that share nothing, their engines and their clients in virtual time: reads one at a time, streams
 * side by side, drains, crashes, cold starts, faults, late updates. What the routers ask for is checked against the
 * rules as it comes; whatever breaks one is noted with its time.
 */
final class VirtualFleet {

    /** Before the client's deadline at which an attempt without a first token ends, as on sockets. */
    private static final double ANSWER_MARGIN_SECONDS = 0.04;

    /**
     * What is played.
     *
     * @param engines of each role, in the order of {@link Role}
     * @param rate requests a second
     * @param read seconds to read a thousand tokens
     * @param stream seconds that a stream takes
     * @param slots streams that an engine runs at once
     * @param faults share of attempts that end with an error, a reset or no connection
     * @param updateDelay seconds by which news may come late, at most
     * @param changes seconds between two drains or crashes
     */
    record Figures(
            RoutingSettings settings,
            int[] engines,
            double rate,
            double read,
            double stream,
            int slots,
            double faults,
            double updateDelay,
            double changes) {}

    private record ScheduledTask(double at, long number, Runnable task) {}

    private static final class Engine {
        final String id;
        final int kind;
        final int cell;
        double born;
        boolean up = true;
        double freeAt;
        int running;
        final List<Double> sends = new ArrayList<>();

        Engine(String id, int kind, int cell) {
            this.id = id;
            this.kind = kind;
            this.cell = cell;
        }
    }

    private static final class ClientRequest {
        int gateway;
        int type;
        long session;
        boolean served;
        Effect effect;
        double tokens;
        double expires;
        int sends;
        int finals;
        boolean out;
        boolean streaming;
        boolean mayHaveRun;
        /** With its gateway, which was restarted. */
        boolean lost;

        Engine cacheEngine;
        double cacheWaitsSince;
    }

    /** One attempt, with its number, and when it was sent. */
    private record Sent(RoutingAction.Forward forward, ClientRequest request, int attempt, double at) {}

    private final List<String> violations = new ArrayList<>();
    int served;
    int requests;
    private final Figures figures;
    private final RoutingSettings settings;
    private final Random random;
    private final List<Router> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, ClientRequest> clientRequests = new HashMap<>();
    /** When each gateway was removedAt that an engine drains or is gone. */
    private final List<Map<String, Double>> removedAt = new ArrayList<>();

    private final double[] updatedAt;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::number));
    private long number;
    private double now = 1000;
    /** Above 1 the first gateways see more than their part of the traffic. */
    private double skew = 1;
    /** Whether what goes by chance beyond a cold engine's budget is allowed for, as the operators do. */
    private boolean byChance;
    /** The most that a cold engine got of what it may get, as a share. */
    double fullest;

    VirtualFleet(Figures figures, long seed) {
        this.figures = figures;
        this.settings = figures.settings;
        this.random = new Random(seed);
        for (int kind = 0; kind < figures.engines.length; kind++) {
            for (int i = 0; i < figures.engines[kind]; i++) {
                engines.add(new Engine("e" + engines.size(), kind, engines.size() % 3));
            }
        }
        updatedAt = new double[settings.balancers()];
        for (int i = 0; i < settings.balancers(); i++) {
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

    /** Plays so many seconds of arrivals, and what follows from them. */
    VirtualFleet play(double seconds) {
        double end = now + seconds;
        for (double at = now; at < end; at += -Math.log(1 - random.nextDouble()) / figures.rate) {
            in(at - now, this::arrive);
        }
        for (double at = now + figures.changes; at < end; at += figures.changes) {
            in(at - now, this::change);
        }
        double last = end + 30;
        while (!queue.isEmpty() && queue.peek().at < last) {
            ScheduledTask task = queue.poll();
            now = task.at;
            task.task.run();
        }
        clientRequests.forEach(
                (id, request) -> check(request.finals == 1, id, "has " + request.finals + " final answers"));
        return this;
    }

    /** The first rules that were violations, each with its time and request; empty where all held. */
    List<String> violations() {
        return violations.subList(0, Math.min(5, violations.size()));
    }

    /** The share of a class's requests that is served, and that of the tenth of them with the longest prompts. */
    double[] sharesOf(int type) {
        List<ClientRequest> all = clientRequests.values().stream()
                .filter(request -> request.type == type)
                .sorted(Comparator.comparingDouble(request -> -request.tokens))
                .toList();
        return new double[] {shareServed(all), shareServed(all.subList(0, all.size() / 10))};
    }

    private static double shareServed(List<ClientRequest> of) {
        return of.stream().filter(request -> request.served).count() / (double) of.size();
    }

    /** The share of sessions none of whose requests was served, over what chance alone would give. */
    double shunned() {
        double missed = 1 - served / (double) requests;
        Map<Long, List<ClientRequest>> sessions =
                clientRequests.values().stream().collect(Collectors.groupingBy(t -> t.session));
        double shunned = 0;
        for (List<ClientRequest> session : sessions.values()) {
            shunned += session.stream().noneMatch(request -> request.served) ? 1 : 0;
            shunned -= Math.pow(missed, session.size());
        }
        return shunned / sessions.size();
    }

    private void in(double delay, Runnable task) {
        queue.add(new ScheduledTask(now + delay, number++, task));
    }

    private void check(boolean kept, String id, String what) {
        if (!kept) {
            violations.add(String.format("%.3f %s %s", now - 1000, id, what));
        }
    }

    private RoutingEvent.Endpoint endpoint(Engine engine, Lifecycle lifecycle) {
        return new RoutingEvent.Endpoint(engine.id, 0, engine.kind, engine.cell, lifecycle, 1, engine.born);
    }

    // ---- Clients ----

    private void arrive() {
        ClientRequest request = new ClientRequest();
        String id = "q" + requests++;
        int type = random.nextInt(settings.classes().size());
        request.gateway = (int) (gateways.size() * Math.pow(random.nextDouble(), skew));
        request.type = type;
        request.session = random.nextInt(200);
        request.effect = settings.classes().get(type).effect();
        request.tokens = 200 + random.nextInt(2000) * (random.nextInt(50) == 0 ? 10 : 1);
        request.expires = now + 6;
        clientRequests.put(id, request);
        in(6, () -> check(request.finals > 0 || request.streaming, id, "has no answer by its deadline"));
        handle(
                request.gateway,
                new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                        id,
                        type,
                        0,
                        request.session,
                        request.expires,
                        0,
                        1 + random.nextInt(5),
                        request.tokens,
                        100,
                        100,
                        false,
                        false,
                        RoutingEvent.Request.ANY_ENGINE)));
        if (random.nextInt(100) == 0) {
            in(random.nextDouble() * 2, () -> leave(id, request));
        }
    }

    private void leave(String id, ClientRequest request) {
        if (request.finals == 0 && !request.streaming) {
            request.finals++;
            handle(request.gateway, new RoutingEvent.ClientDisconnected(id));
        }
    }

    private void answered(String id) {
        ClientRequest request = clientRequests.get(id);
        request.finals++;
        check(request.finals == 1, id, "is answered again");
        check(now <= request.expires, id, "is answered late");
        check(!request.out, id, "is answered with an attempt out");
    }

    // ---- Gateways ----

    private void handle(int gateway, RoutingEvent event) {
        for (RoutingAction action : gateways.get(gateway).handle(now, event)) {
            if (action instanceof RoutingAction.Forward forward) {
                send(gateway, forward);
            } else if (action instanceof RoutingAction.Reject reject) {
                ClientRequest request = clientRequests.get(reject.id());
                check(
                        !(request.effect == Effect.UNSAFE && request.mayHaveRun),
                        reject.id(),
                        "is refused, may have run");
                answered(reject.id());
            } else if (action instanceof RoutingAction.Fail fail) {
                answered(fail.id());
            } else if (action instanceof RoutingAction.ReleaseCache release && !clientRequests.get(release.id()).out) {
                clientRequests.get(release.id()).cacheEngine = null;
            } else if (action instanceof RoutingAction.SetTimer timer) {
                in(timer.delay(), () -> handle(gateway, new RoutingEvent.TimerFired(timer.token())));
            }
        }
    }

    private void send(int gateway, RoutingAction.Forward forward) {
        ClientRequest request = clientRequests.get(forward.id());
        Engine engine = engines.stream()
                .filter(e -> e.id.equals(forward.engine()))
                .findFirst()
                .orElseThrow();
        Role role = settings.roleByKind().get(engine.kind);
        check(request.finals == 0 && !request.streaming, forward.id(), "is sent after its end");
        check(!request.out, forward.id(), "is sent twice at once");
        check(
                request.effect != Effect.UNSAFE || role == Role.PREFILL || !request.mayHaveRun,
                forward.id(),
                "runs again");
        check(request.sends < settings.maxAttempts(), forward.id(), "is sent too often");
        check(
                now - removedAt.get(gateway).getOrDefault(engine.id, now)
                        <= settings.rules().stopSendingWithin(),
                forward.id(),
                "goes to " + engine.id + ", which drains or is gone");
        Sent sent = new Sent(forward, request, request.sends++, now);
        request.out = true;
        double limit = forward.timeout() > 0
                ? Math.min(now + forward.timeout(), request.expires - ANSWER_MARGIN_SECONDS)
                : request.expires - ANSWER_MARGIN_SECONDS;
        if (!engine.up || random.nextDouble() < figures.faults / 3) {
            // A third of what is down says nothing, the rest refuses.
            boolean silent = random.nextInt(3) == 0;
            in(silent ? Math.min(0.25, Math.max(0, limit - now)) : 0.001, () -> ended(sent, Status.CONNECT_FAILED, 0));
        } else if (role == Role.PREFILL) {
            cold(engine);
            read(sent, engine, limit);
        } else {
            cold(engine);
            write(sent, engine, role, limit);
        }
    }

    private double speed(Engine engine) {
        double from = settings.rules().coldFrom();
        return engine.born == 0
                ? 1
                : Math.min(
                        1,
                        from
                                + (1 - from)
                                        * (now - engine.born)
                                        / settings.rules().cold());
    }

    /** All gateways together must not push a cold engine over: counted in reads and streams of mean size. */
    private void cold(Engine engine) {
        if (engine.born == 0 || now - engine.born > settings.rules().cold()) {
            return;
        }
        engine.sends.add(now);
        engine.sends.removeIf(at -> at < now - settings.rules().tipAfter());
        double each = settings.roleByKind().get(engine.kind) == Role.PREFILL
                ? figures.read * 1.4
                : figures.stream / figures.slots;
        double most = settings.rules().fallMultiple()
                * speed(engine)
                / each
                * settings.rules().tipAfter();
        double bound = byChance ? most + 2 * Math.sqrt(most) + 2 : Math.max(2, most);
        fullest = Math.max(fullest, engine.sends.size() / bound);
        check(
                engine.sends.size() <= bound,
                engine.id,
                "is pushed over: " + engine.sends.size() + " sends, at most " + (int) bound);
    }

    private void read(Sent sent, Engine engine, double limit) {
        ClientRequest request = sent.request;
        engine.freeAt = Math.max(now, engine.freeAt) + request.tokens / 1000 * figures.read / speed(engine);
        double born = engine.born;
        if (engine.freeAt > limit) {
            in(Math.max(0, limit - now), () -> ended(sent, Status.TIMEOUT, 0));
            return;
        }
        in(engine.freeAt - now, () -> {
            boolean alive = engine.up && engine.born == born;
            if (alive && request.out) {
                request.cacheEngine = engine;
            }
            ended(sent, alive ? Status.PREFILLED : Status.RESET, 0);
        });
    }

    private void write(Sent sent, Engine engine, Role role, double limit) {
        ClientRequest request = sent.request;
        boolean state = request.cacheEngine != null && request.cacheEngine.up;
        if (!state && role == Role.DECODE) {
            in(0.005, () -> ended(sent, Status.FULL, 1));
            return;
        }
        if (engine.running >= figures.slots) {
            in(0.005, () -> ended(sent, Status.FULL, 0));
            return;
        }
        engine.running++;
        double begins = 0.02 + (state ? 0.02 : request.tokens / 1000 * figures.read) / speed(engine);
        double lasts = figures.stream / speed(engine);
        in(begins + lasts, () -> engine.running--);
        Status fault = random.nextDouble() > figures.faults ? null : random.nextBoolean() ? Status.ERROR : Status.RESET;
        if (fault != null || now + begins > limit) {
            in(Math.max(0, Math.min(begins, limit - now)), () -> {
                request.mayHaveRun = true;
                ended(sent, fault != null ? fault : Status.TIMEOUT, 0);
            });
            return;
        }
        in(begins, () -> stream(sent, lasts));
    }

    private void stream(Sent sent, double lasts) {
        ClientRequest request = sent.request;
        if (!request.out || request.finals > 0) {
            return;
        }
        request.streaming = true;
        request.mayHaveRun = true;
        request.cacheEngine = null;
        RoutingAction.Forward forward = sent.forward;
        handle(
                request.gateway,
                new RoutingEvent.FirstTokenReceived(forward.id(), sent.attempt, forward.engine(), now - sent.at));
        in(lasts, () -> {
            if (request.lost) {
                return;
            }
            request.finals++;
            request.served = true;
            served++;
            ended(sent, Status.OK, 0);
        });
    }

    /** An attempt has ended; whatever its request holds then has its time. */
    private void ended(Sent sent, Status status, double note) {
        ClientRequest request = sent.request;
        RoutingAction.Forward forward = sent.forward;
        if (!request.out) {
            return;
        }
        request.out = false;
        request.cacheWaitsSince = now;
        double since = now;
        if (request.cacheEngine != null) {
            in(
                    settings.rules().releaseWithin() + 0.001,
                    () -> check(
                            request.cacheEngine == null
                                    || request.out
                                    || request.cacheWaitsSince != since
                                    || !request.cacheEngine.up,
                            forward.id(),
                            "holds its state too long"));
        }
        boolean closed = request.finals > 0 || request.streaming;
        handle(
                request.gateway,
                new RoutingEvent.AttemptEnded(
                        forward.id(),
                        sent.attempt,
                        forward.engine(),
                        status,
                        now - sent.at,
                        closed,
                        note,
                        Map.of(),
                        status.mayHaveArrived()));
    }

    // ---- Changes of the fleet ----

    /** Has the first gateways see several times the mean; held to the budget with what is put down to chance. */
    VirtualFleet uneven(double to) {
        skew = to;
        byChance = true;
        return this;
    }

    /** So many engines of each role go at once, and come back cold together some seconds later. */
    VirtualFleet returning(double at, int ofEach) {
        for (Role role : Role.values()) {
            in(
                    at,
                    () -> engines.stream()
                            .filter(e -> e.up && settings.roleByKind().get(e.kind) == role)
                            .limit(ofEach)
                            .toList()
                            .forEach(this::down));
        }
        return this;
    }

    /** A share of the gateways starts anew, one after the other: each knows the list and nothing else. */
    VirtualFleet restarting(double at, double share) {
        for (int i = 0; i < share * gateways.size(); i++) {
            int gateway = i;
            in(at + i * 0.05, () -> restart(gateway));
        }
        return this;
    }

    /** What it had out is lost with it; its clients are gone. */
    private void restart(int gateway) {
        clientRequests.values().stream()
                .filter(request -> request.gateway == gateway)
                .forEach(request -> {
                    request.lost = true;
                    request.finals = 1;
                    request.out = false;
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

    private void change() {
        Engine engine = engines.get(random.nextInt(engines.size()));
        if (!engine.up) {
            return;
        }
        if (random.nextBoolean()) {
            update(engine, Lifecycle.LEAVING);
            in(figures.updateDelay + 1, () -> down(engine));
        } else {
            down(engine);
        }
    }

    private void down(Engine engine) {
        engine.up = false;
        update(engine, Lifecycle.LEFT);
        in(figures.updateDelay + 2, () -> {
            engine.up = true;
            engine.born = now;
            engine.freeAt = now;
            engine.sends.clear();
            update(engine, Lifecycle.ACTIVE);
        });
    }

    /** Each gateway hears of it in its own time, in order. */
    private void update(Engine engine, Lifecycle lifecycle) {
        RoutingEvent.Endpoint endpoint = endpoint(engine, lifecycle);
        for (int i = 0; i < gateways.size(); i++) {
            int gateway = i;
            updatedAt[i] = Math.max(updatedAt[i], now + random.nextDouble() * figures.updateDelay);
            in(updatedAt[i] - now, () -> {
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

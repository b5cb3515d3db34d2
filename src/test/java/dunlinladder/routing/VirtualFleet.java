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
 * side by side, drains, crashes, cold starts, faults, late news. What the modules ask for is held against the rules as
 * it comes; whatever breaks one is noted with its time.
 */
final class VirtualFleet {

    /** Before the client's deadline at which an attempt without a first token ends, as on sockets. */
    private static final double ANSWER = 0.04;

    /**
     * What is played.
     *
     * @param engines of each role, in the order of {@link Role}
     * @param rate requests a second
     * @param read seconds to read a thousand tokens
     * @param stream seconds that a stream takes
     * @param slots streams that an engine runs at once
     * @param faults share of attempts that end with an error, a reset or no connection
     * @param newsDelay seconds by which news may come late, at most
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
            double newsDelay,
            double changes) {}

    private record Due(double at, long number, Runnable task) {}

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

    private static final class Track {
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
        boolean begun;
        boolean mayHaveRun;
        /** With its gateway, which was restarted. */
        boolean lost;

        Engine holder;
        double heldSince;
    }

    private final List<String> broken = new ArrayList<>();
    int served;
    int requests;
    private final Figures figures;
    private final RoutingSettings settings;
    private final Random random;
    private final List<Router> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, Track> tracks = new HashMap<>();
    /** When each gateway was told that an engine drains or is gone. */
    private final List<Map<String, Double>> told = new ArrayList<>();

    private final double[] toldAt;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
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
        toldAt = new double[settings.balancers()];
        for (int i = 0; i < settings.balancers(); i++) {
            gateways.add(new RoutingPolicy(settings, seed + i));
            told.add(new HashMap<>());
            handle(
                    i,
                    new RoutingEvent.EndpointsChanged(
                            RoutingEvent.Scope.COMPLETE,
                            engines.stream()
                                    .map(e -> member(e, Lifecycle.ACTIVE))
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
            Due due = queue.poll();
            now = due.at;
            due.task.run();
        }
        tracks.forEach((id, track) -> check(track.finals == 1, id, "has " + track.finals + " final answers"));
        return this;
    }

    /** The first rules that were broken, each with its time and request; empty where all held. */
    List<String> broken() {
        return broken.subList(0, Math.min(5, broken.size()));
    }

    /** The share of a class's requests that is served, and that of the tenth of them with the longest prompts. */
    double[] sharesOf(int type) {
        List<Track> all = tracks.values().stream()
                .filter(track -> track.type == type)
                .sorted(Comparator.comparingDouble(track -> -track.tokens))
                .toList();
        return new double[] {shareServed(all), shareServed(all.subList(0, all.size() / 10))};
    }

    private static double shareServed(List<Track> of) {
        return of.stream().filter(track -> track.served).count() / (double) of.size();
    }

    /** The share of sessions none of whose requests was served, over what chance alone would give. */
    double shunned() {
        double missed = 1 - served / (double) requests;
        Map<Long, List<Track>> sessions = tracks.values().stream().collect(Collectors.groupingBy(t -> t.session));
        double shunned = 0;
        for (List<Track> session : sessions.values()) {
            shunned += session.stream().noneMatch(track -> track.served) ? 1 : 0;
            shunned -= Math.pow(missed, session.size());
        }
        return shunned / sessions.size();
    }

    private void in(double delay, Runnable task) {
        queue.add(new Due(now + delay, number++, task));
    }

    private void check(boolean kept, String id, String what) {
        if (!kept) {
            broken.add(String.format("%.3f %s %s", now - 1000, id, what));
        }
    }

    private RoutingEvent.Endpoint member(Engine engine, Lifecycle lifecycle) {
        return new RoutingEvent.Endpoint(engine.id, 0, engine.kind, engine.cell, lifecycle, 1, engine.born);
    }

    // ---- Clients ----

    private void arrive() {
        Track track = new Track();
        String id = "q" + requests++;
        int type = random.nextInt(settings.classes().size());
        track.gateway = (int) (gateways.size() * Math.pow(random.nextDouble(), skew));
        track.type = type;
        track.session = random.nextInt(200);
        track.effect = settings.classes().get(type).effect();
        track.tokens = 200 + random.nextInt(2000) * (random.nextInt(50) == 0 ? 10 : 1);
        track.expires = now + 6;
        tracks.put(id, track);
        in(6, () -> check(track.finals > 0 || track.begun, id, "has no answer by its deadline"));
        handle(
                track.gateway,
                new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                        id,
                        type,
                        0,
                        track.session,
                        track.expires,
                        0,
                        1 + random.nextInt(5),
                        track.tokens,
                        100,
                        100,
                        false,
                        false,
                        RoutingEvent.Request.ANY_ENGINE)));
        if (random.nextInt(100) == 0) {
            in(random.nextDouble() * 2, () -> leave(id, track));
        }
    }

    private void leave(String id, Track track) {
        if (track.finals == 0 && !track.begun) {
            track.finals++;
            handle(track.gateway, new RoutingEvent.ClientDisconnected(id));
        }
    }

    private void answered(String id) {
        Track track = tracks.get(id);
        track.finals++;
        check(track.finals == 1, id, "is answered again");
        check(now <= track.expires, id, "is answered late");
        check(!track.out, id, "is answered with an attempt out");
    }

    // ---- Gateways ----

    private void handle(int gateway, RoutingEvent event) {
        for (RoutingAction action : gateways.get(gateway).handle(now, event)) {
            if (action instanceof RoutingAction.Forward send) {
                send(gateway, send);
            } else if (action instanceof RoutingAction.Reject refuse) {
                Track track = tracks.get(refuse.id());
                check(!(track.effect == Effect.UNSAFE && track.mayHaveRun), refuse.id(), "is refused, may have run");
                answered(refuse.id());
            } else if (action instanceof RoutingAction.Fail fail) {
                answered(fail.id());
            } else if (action instanceof RoutingAction.ReleaseCache release && !tracks.get(release.id()).out) {
                tracks.get(release.id()).holder = null;
            } else if (action instanceof RoutingAction.SetTimer timer) {
                in(timer.delay(), () -> handle(gateway, new RoutingEvent.TimerFired(timer.token())));
            }
        }
    }

    private void send(int gateway, RoutingAction.Forward send) {
        Track track = tracks.get(send.id());
        Engine engine = engines.stream()
                .filter(e -> e.id.equals(send.engine()))
                .findFirst()
                .orElseThrow();
        Role role = settings.roleByKind().get(engine.kind);
        check(track.finals == 0 && !track.begun, send.id(), "is sent after its end");
        check(!track.out, send.id(), "is sent twice at once");
        check(track.effect != Effect.UNSAFE || role == Role.PREFILL || !track.mayHaveRun, send.id(), "runs again");
        check(track.sends < settings.maxAttempts(), send.id(), "is sent too often");
        check(
                now - told.get(gateway).getOrDefault(engine.id, now)
                        <= settings.rules().stopSendingWithin(),
                send.id(),
                "goes to " + engine.id + ", which drains or is gone");
        int attempt = track.sends++;
        track.out = true;
        double sentAt = now;
        double limit =
                send.timeout() > 0 ? Math.min(now + send.timeout(), track.expires - ANSWER) : track.expires - ANSWER;
        if (!engine.up || random.nextDouble() < figures.faults / 3) {
            // A third of what is down says nothing, the rest refuses.
            boolean silent = random.nextInt(3) == 0;
            in(
                    silent ? Math.min(0.25, Math.max(0, limit - now)) : 0.001,
                    () -> ended(send, track, attempt, sentAt, Status.CONNECT_FAILED, 0));
        } else if (role == Role.PREFILL) {
            cold(engine);
            read(send, track, attempt, engine, limit);
        } else {
            cold(engine);
            write(send, track, attempt, engine, role, limit);
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

    private void read(RoutingAction.Forward send, Track track, int attempt, Engine engine, double limit) {
        double sentAt = now;
        engine.freeAt = Math.max(now, engine.freeAt) + track.tokens / 1000 * figures.read / speed(engine);
        double born = engine.born;
        if (engine.freeAt > limit) {
            in(Math.max(0, limit - now), () -> ended(send, track, attempt, sentAt, Status.TIMEOUT, 0));
            return;
        }
        in(engine.freeAt - now, () -> {
            boolean alive = engine.up && engine.born == born;
            if (alive && track.out) {
                track.holder = engine;
            }
            ended(send, track, attempt, sentAt, alive ? Status.PREFILLED : Status.RESET, 0);
        });
    }

    private void write(RoutingAction.Forward send, Track track, int attempt, Engine engine, Role role, double limit) {
        double sentAt = now;
        boolean state = track.holder != null && track.holder.up;
        if (!state && role == Role.DECODE) {
            in(0.005, () -> ended(send, track, attempt, sentAt, Status.FULL, 1));
            return;
        }
        if (engine.running >= figures.slots) {
            in(0.005, () -> ended(send, track, attempt, sentAt, Status.FULL, 0));
            return;
        }
        engine.running++;
        double begins = 0.02 + (state ? 0.02 : track.tokens / 1000 * figures.read) / speed(engine);
        double lasts = figures.stream / speed(engine);
        in(begins + lasts, () -> engine.running--);
        Status fault = random.nextDouble() > figures.faults ? null : random.nextBoolean() ? Status.ERROR : Status.RESET;
        if (fault != null || now + begins > limit) {
            in(Math.max(0, Math.min(begins, limit - now)), () -> {
                track.mayHaveRun = true;
                ended(send, track, attempt, sentAt, fault != null ? fault : Status.TIMEOUT, 0);
            });
            return;
        }
        in(begins, () -> {
            if (!track.out || track.finals > 0) {
                return;
            }
            track.begun = true;
            track.mayHaveRun = true;
            track.holder = null;
            handle(track.gateway, new RoutingEvent.FirstTokenReceived(send.id(), attempt, send.engine(), now - sentAt));
            in(lasts, () -> {
                if (track.lost) {
                    return;
                }
                track.finals++;
                track.served = true;
                served++;
                ended(send, track, attempt, sentAt, Status.OK, 0);
            });
        });
    }

    /** An attempt has ended; whatever its request holds then has its time. */
    private void ended(
            RoutingAction.Forward send, Track track, int attempt, double sentAt, Status status, double note) {
        if (!track.out) {
            return;
        }
        track.out = false;
        track.heldSince = now;
        double since = now;
        if (track.holder != null) {
            in(
                    settings.rules().releaseWithin() + 0.001,
                    () -> check(
                            track.holder == null || track.out || track.heldSince != since || !track.holder.up,
                            send.id(),
                            "holds its state too long"));
        }
        boolean closed = track.finals > 0 || track.begun;
        handle(
                track.gateway,
                new RoutingEvent.AttemptEnded(
                        send.id(), attempt, send.engine(), status, now - sentAt, closed, note, Map.of()));
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
        tracks.values().stream().filter(track -> track.gateway == gateway).forEach(track -> {
            track.lost = true;
            track.finals = 1;
            track.out = false;
            track.holder = null;
        });
        told.get(gateway).clear();
        gateways.set(gateway, new RoutingPolicy(settings, random.nextLong()));
        handle(
                gateway,
                new RoutingEvent.EndpointsChanged(
                        RoutingEvent.Scope.COMPLETE,
                        engines.stream()
                                .filter(e -> e.up)
                                .map(e -> member(e, Lifecycle.ACTIVE))
                                .toList()));
    }

    private void change() {
        Engine engine = engines.get(random.nextInt(engines.size()));
        if (!engine.up) {
            return;
        }
        if (random.nextBoolean()) {
            news(engine, Lifecycle.LEAVING);
            in(figures.newsDelay + 1, () -> down(engine));
        } else {
            down(engine);
        }
    }

    private void down(Engine engine) {
        engine.up = false;
        news(engine, Lifecycle.LEFT);
        in(figures.newsDelay + 2, () -> {
            engine.up = true;
            engine.born = now;
            engine.freeAt = now;
            engine.sends.clear();
            news(engine, Lifecycle.ACTIVE);
        });
    }

    /** Each gateway hears of it in its own time, in order. */
    private void news(Engine engine, Lifecycle lifecycle) {
        RoutingEvent.Endpoint member = member(engine, lifecycle);
        for (int i = 0; i < gateways.size(); i++) {
            int gateway = i;
            toldAt[i] = Math.max(toldAt[i], now + random.nextDouble() * figures.newsDelay);
            in(toldAt[i] - now, () -> {
                if (lifecycle == Lifecycle.ACTIVE) {
                    told.get(gateway).remove(engine.id);
                } else {
                    told.get(gateway).putIfAbsent(engine.id, now);
                }
                handle(gateway, new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.CHANGES, List.of(member)));
            });
        }
    }
}

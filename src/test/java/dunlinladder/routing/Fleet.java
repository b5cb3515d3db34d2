package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Lifecycle;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hand-made events for one router: its endpoints, a clock, and what the router asked for. */
final class Fleet {

    final List<RoutingAction> all = new ArrayList<>();
    final List<RoutingAction.Forward> sent = new ArrayList<>();
    RoutingSettings settings = settings(Effect.SAFE, Group.ALL);
    private final Map<String, RoutingEvent.Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, RoutingAction.Forward> latest = new LinkedHashMap<>();
    private final Map<String, Double> sentAt = new HashMap<>();
    private final Map<String, Double> finalAt = new HashMap<>();
    private final List<double[]> timers = new ArrayList<>();
    private RoutingPolicy router = new RoutingPolicy(settings, 1);
    private double now = 100;

    static RoutingSettings settings(Effect effect, Group group) {
        return new RoutingSettings(
                2,
                0,
                List.of(new RoutingSettings.ServiceClass(1, 0.05, 0, 0.05, effect, group, 5, 1, 0.1)),
                List.of(100.0),
                List.of(Role.PREFILL, Role.DECODE, Role.MIXED),
                List.of(2e5, 2e5, 2e5),
                6,
                false,
                false,
                1,
                false,
                new RoutingSettings.Rules(0.02, 0.25, 2.5, 2, 12, 0.3, 0.5));
    }

    static Fleet pair() {
        return new Fleet()
                .with("r0", 0, Role.PREFILL)
                .with("w0", 0, Role.DECODE)
                .with("r1", 1, Role.PREFILL)
                .with("w1", 1, Role.DECODE)
                .listed();
    }

    Fleet type(Effect effect, Group group) {
        settings = settings(effect, group);
        return restartRouter();
    }

    /** One of so many routers. */
    Fleet routers(int balancers) {
        return among(balancers, settings.retryAfter());
    }

    /** On a deployment whose clients heed advice. */
    Fleet advising() {
        return among(settings.balancers(), true).restartRouter();
    }

    private Fleet among(int balancers, boolean retryAfter) {
        RoutingSettings before = settings;
        settings = new RoutingSettings(
                balancers,
                before.zone(),
                before.classes(),
                before.quotas(),
                before.roleByKind(),
                before.kvTokens(),
                before.maxAttempts(),
                before.readInPlace(),
                retryAfter,
                before.maxRetryAfter(),
                before.listOnRequest(),
                before.rules());
        return this;
    }

    Fleet seed(long seed) {
        router = new RoutingPolicy(settings, seed);
        return listed();
    }

    /** A request whose first 800 tokens are shared with others. */
    void shared(String id, long prefix) {
        handle(new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                id,
                0,
                0,
                id.hashCode(),
                now + 5,
                0,
                prefix,
                1000,
                800,
                100,
                false,
                false,
                RoutingEvent.Request.ANY_ENGINE)));
    }

    /** A request of 200 tokens behind a prefix of so many. */
    void opening(String id, long prefix, double tokens) {
        handle(new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                id,
                0,
                0,
                id.hashCode(),
                now + 5,
                0,
                prefix,
                tokens + 200,
                tokens,
                100,
                false,
                false,
                RoutingEvent.Request.ANY_ENGINE)));
        sentAt.putIfAbsent(id, now);
    }

    /** Ends every attempt in flight with a time-out. */
    void drainAttempts() {
        for (String id : List.copyOf(latest.keySet())) {
            for (int attempt = 0; attempt < attempts.get(id); attempt++) {
                handle(new RoutingEvent.AttemptEnded(
                        id, attempt, latest.get(id).engine(), Status.TIMEOUT, 4.9, true, 0, Map.of(), true));
            }
        }
    }

    /** Starts the router afresh, with the endpoints as they stand. */
    Fleet restartRouter() {
        router = new RoutingPolicy(settings, 1);
        return listed();
    }

    Fleet with(String id, int cell, Role role) {
        endpoints.put(id, new RoutingEvent.Endpoint(id, 0, role.ordinal(), cell, Lifecycle.ACTIVE, 1, 0));
        return this;
    }

    Fleet listed() {
        handle(new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.COMPLETE, List.copyOf(endpoints.values())));
        return this;
    }

    Fleet drain(String id) {
        RoutingEvent.Endpoint listed = endpoints.get(id);
        return change(new RoutingEvent.Endpoint(
                id, listed.zone(), listed.kind(), listed.cell(), Lifecycle.LEAVING, 1, listed.startedAt()));
    }

    Fleet leave(String id) {
        RoutingEvent.Endpoint listed = endpoints.get(id);
        return change(new RoutingEvent.Endpoint(
                id, listed.zone(), listed.kind(), listed.cell(), Lifecycle.LEFT, 1, listed.startedAt()));
    }

    Fleet without(String id) {
        endpoints.remove(id);
        return this;
    }

    /** How many engines, sessions and shared prefixes the router remembers. */
    String remembered() {
        PolicyContext context = router.context;
        PrefixCacheIndex cache = context.prefixCache;
        return context.engines.size() + " " + cache.lastPrompts.size() + " " + cache.prefixesSent.size();
    }

    Fleet restart(String id) {
        RoutingEvent.Endpoint listed = endpoints.get(id);
        return change(
                new RoutingEvent.Endpoint(id, listed.zone(), listed.kind(), listed.cell(), Lifecycle.ACTIVE, 1, now));
    }

    private Fleet change(RoutingEvent.Endpoint endpoint) {
        endpoints.put(endpoint.engine(), endpoint);
        handle(new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.CHANGES, List.of(endpoint)));
        return this;
    }

    int cell(String engine) {
        return endpoints.get(engine).cell();
    }

    void handle(RoutingEvent event) {
        for (RoutingAction action : router.handle(now, event)) {
            all.add(action);
            if (action instanceof RoutingAction.Forward forward) {
                sent.add(forward);
                latest.put(forward.id(), forward);
                sentAt.put(forward.id(), now);
                attempts.merge(forward.id(), 1, Integer::sum);
            } else if (action instanceof RoutingAction.SetTimer timer) {
                timers.add(new double[] {now + timer.delay(), timer.token()});
            } else if (action instanceof RoutingAction.Reject reject) {
                finalAt.put(reject.id(), now);
            } else if (action instanceof RoutingAction.Fail fail) {
                finalAt.put(fail.id(), now);
            }
        }
    }

    /** Lets time pass; timers come due. */
    void run(double seconds) {
        double until = now + seconds;
        while (true) {
            double[] next =
                    timers.stream().min((a, b) -> Double.compare(a[0], b[0])).orElse(null);
            if (next == null || next[0] > until) {
                break;
            }
            timers.remove(next);
            now = next[0];
            handle(new RoutingEvent.TimerFired((long) next[1]));
        }
        now = until;
    }

    void request(String id, long session) {
        handle(new RoutingEvent.RequestArrived(new RoutingEvent.Request(
                id, 0, 0, session, now + 5, 0, 0, 1000, 0, 100, false, false, RoutingEvent.Request.ANY_ENGINE)));
        sentAt.putIfAbsent(id, now);
    }

    RoutingAction.Forward arrive(String id) {
        return arrive(id, id.hashCode());
    }

    RoutingAction.Forward arrive(String id, long session) {
        request(id, session);
        return latest.get(id);
    }

    /** Where a request was sent last. */
    String engine(String id) {
        return latest.get(id).engine();
    }

    RoutingAction.Forward lastSend() {
        return sent.get(sent.size() - 1);
    }

    void first(String id) {
        handle(new RoutingEvent.FirstTokenReceived(
                id, attempts.get(id) - 1, latest.get(id).engine(), now - sentAt.get(id)));
    }

    void outcome(String id, Status status) {
        outcome(id, status, 0, status == Status.OK);
    }

    void outcome(String id, Status status, double note, boolean closed) {
        end(id, status, closed, note, Map.of(), status.mayHaveArrived());
    }

    void confirmationOverdue(String id) {
        handle(new RoutingEvent.ConfirmationOverdue(id, attempts.get(id) - 1));
    }

    /** Ends an attempt of which it is not known whether it has reached its engine. */
    void notArrived(String id, Status status) {
        end(id, status, false, 0, Map.of(), false);
    }

    /** Ends an attempt for good with a load report. */
    void reported(String id, Status status, Map<String, Double> report) {
        end(id, status, true, 0, report, true);
    }

    private void end(
            String id, Status status, boolean closed, double note, Map<String, Double> report, boolean arrived) {
        handle(new RoutingEvent.AttemptEnded(
                id,
                attempts.get(id) - 1,
                latest.get(id).engine(),
                status,
                now - sentAt.get(id),
                closed,
                note,
                report,
                arrived));
    }

    /** Plays a request to its good end. */
    void serve(String id) {
        outcome(id, Status.PREFILLED);
        first(id);
        outcome(id, Status.OK);
    }

    void gone(String id) {
        handle(new RoutingEvent.ClientDisconnected(id));
    }

    int sends() {
        return sent.size();
    }

    /** The number of sends once those to readers after the first {@code from} are left out. */
    int sendsToWriters(int from) {
        return from
                + (int) sent.stream()
                        .skip(from)
                        .filter(forward -> endpoints.get(forward.engine()).kind() != Role.PREFILL.ordinal())
                        .count();
    }

    long finals(String id) {
        return fails(id)
                + all.stream()
                        .filter(a -> a instanceof RoutingAction.Reject r && r.id().equals(id))
                        .count();
    }

    long fails(String id) {
        return all.stream()
                .filter(a -> a instanceof RoutingAction.Fail f && f.id().equals(id))
                .count();
    }

    long releases(String id) {
        return all.stream()
                .filter(a -> a instanceof RoutingAction.ReleaseCache r && r.id().equals(id))
                .count();
    }

    /** Seconds after the clock's start at which the final answer came. */
    double finalAt(String id) {
        return finalAt.get(id) - 100;
    }
}

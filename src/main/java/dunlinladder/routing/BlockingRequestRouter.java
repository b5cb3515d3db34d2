package dunlinladder.routing;

import dunlinladder.core.Attempt;
import dunlinladder.core.Clock;
import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Request;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.RoutingDecision;
import dunlinladder.core.Seconds;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The decision module in blocking style: {@code pick} waits for a request's next step, the other calls report,
 * {@code tick} runs timers. Events and actions stay inside.
 *
 * <p>One lock guards everything. The clock is read while it is held: read before, a thread that waited for the lock
 * would hand the module a time that lies behind one it has already seen.
 */
public final class BlockingRequestRouter implements RequestRouter {

    private static final Logger LOG = LoggerFactory.getLogger(BlockingRequestRouter.class);
    /** Longest wait for a timer in one {@code tick}; a new earlier timer cuts it short. */
    private static final long TICK_MOST = 1_000_000_000L;
    /** Share of its aim for which a request may wait until this process can follow it. */
    private static final double WAIT_SHARE = 0.5;
    /** Seconds between two lines in the log that tell of it. */
    private static final double TELL_EVERY = 1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timerSet = lock.newCondition();
    private final Router router;
    private final Clock clock;
    private final Consumer<String> releases;
    private final AdmissionQueue<Owed> intake;
    private final DoubleSupplier lag;
    private final Router.Settings settings;
    private int waited;
    private int givenUp;
    private double longestLag;
    private double toldAt;
    private final Map<String, Owed> owed = new HashMap<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>(Comparator.comparingDouble(Due::at));

    /** A request that has steps to come. */
    private final class Owed {
        final Queue<RoutingDecision> steps = new ArrayDeque<>();
        final Condition ready = lock.newCondition();
        double sentAt;
        int sends;
        boolean gone;
        boolean in;
    }

    private record Due(double at, long token) {}

    /**
     * Creates the decisions of one gateway; {@code releases} is told ids whose held state is let go, {@code lag} gives
     * the seconds by which this process is behind; over {@code mostLag} requests wait.
     */
    public BlockingRequestRouter(
            Router.Settings settings,
            long seed,
            Clock clock,
            Consumer<String> releases,
            DoubleSupplier lag,
            double mostLag) {
        this.settings = settings;
        this.lag = lag;
        this.intake = new AdmissionQueue<>(mostLag);
        this.router = new RoutingPolicy(settings, seed);
        this.clock = clock;
        this.releases = releases;
    }

    @Override
    public RoutingDecision nextDecision(Request request) throws InterruptedException {
        lock.lock();
        try {
            Owed entry = owed.get(request.id());
            if (entry == null) {
                entry = new Owed();
                owed.put(request.id(), entry);
                RoutingDecision instead = letIn(entry, request);
                if (instead != null) {
                    owed.remove(request.id());
                    return instead;
                }
                tell(new Router.Arrival(new Router.Request(
                        request.id(),
                        request.serviceClass(),
                        request.tenant(),
                        request.session(),
                        request.deadline(),
                        0,
                        request.prefix(),
                        request.promptTokens(),
                        request.prefixTokens(),
                        request.maxOutputTokens(),
                        request.retry(),
                        request.returned(),
                        request.eligible())));
            }
            while (entry.steps.isEmpty() && !entry.gone) {
                entry.ready.await();
            }
            RoutingDecision step = entry.gone ? new RoutingDecision.Discard() : entry.steps.poll();
            if (entry.gone && entry.steps.peek() instanceof RoutingDecision.Forward unsent) {
                // Decided but never made: the module would count it as out at that engine for good.
                tell(new Router.Outcome(
                        request.id(), entry.sends - 1, unsent.engine(), Router.Status.NOT_SENT, 0, true, 0, Map.of()));
            }
            if (!(step instanceof RoutingDecision.Forward)) {
                owed.remove(request.id());
            }
            return step;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until this process can follow one more request; what to do instead where that takes too long. */
    private RoutingDecision letIn(Owed entry, Request request) throws InterruptedException {
        entry.in = intake.open(lag.getAsDouble());
        if (entry.in) {
            return null;
        }
        double now = clock.now();
        double until = now
                + Math.min(settings.classes().get(request.serviceClass()).aim(), request.deadline() - now) * WAIT_SHARE;
        intake.add(entry);
        while (!entry.in && !entry.gone && clock.now() < until) {
            entry.ready.awaitNanos((long) ((until - clock.now()) * 1e9) + 1);
        }
        longestLag = Math.max(longestLag, lag.getAsDouble());
        waited++;
        if (!entry.in) {
            intake.remove(entry);
            givenUp++;
        }
        return entry.gone ? new RoutingDecision.Discard() : entry.in ? null : new RoutingDecision.Reject(0);
    }

    /** Looks at how far this process is behind, and lets in what waited; to be called at even times. */
    public void pulse() {
        lock.lock();
        try {
            for (int left = intake.look(lag.getAsDouble()); left > 0; left--) {
                Owed entry = intake.next();
                entry.in = true;
                entry.ready.signal();
            }
            if (waited > 0 && clock.now() - toldAt > TELL_EVERY) {
                LOG.warn("event=behind waited={} given_up={} lag={}", waited, givenUp, Seconds.text(longestLag));
                toldAt = clock.now();
                waited = 0;
                givenUp = 0;
                longestLag = 0;
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void firstToken(Attempt attempt) {
        lock.lock();
        try {
            tell(new Router.FirstToken(
                    attempt.request().id(),
                    attempt.number(),
                    attempt.engine().id(),
                    elapsed(owed.get(attempt.request().id()))));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, Outcome outcome, boolean last) {
        lock.lock();
        try {
            Owed entry = last
                    ? owed.remove(attempt.request().id())
                    : owed.get(attempt.request().id());
            tell(new Router.Outcome(
                    attempt.request().id(),
                    attempt.number(),
                    attempt.engine().id(),
                    status(outcome.ending()),
                    elapsed(entry),
                    last,
                    outcome.note(),
                    outcome.report()));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void clientDisconnected(String id) {
        lock.lock();
        try {
            Owed entry = owed.get(id);
            if (entry != null) {
                entry.gone = true;
                entry.ready.signal();
                if (entry.in) {
                    tell(new Router.ClientGone(id));
                }
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void endpointsUpdated(Scope scope, List<Engine> engines) {
        List<Router.Member> members = engines.stream()
                .map(e -> new Router.Member(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        Router.Lifecycle.valueOf(e.state().name()),
                        e.weight(),
                        e.startedAt()))
                .toList();
        lock.lock();
        try {
            tell(new Router.Members(Router.Scope.valueOf(scope.name()), members));
        } finally {
            lock.unlock();
        }
    }

    /** Runs the timers that are due, or waits a while for the next one; to be called again and again. */
    public void tick() throws InterruptedException {
        lock.lock();
        try {
            Due next = timers.peek();
            double left = next == null ? Double.POSITIVE_INFINITY : next.at - clock.now();
            if (left > 0) {
                timerSet.awaitNanos((long) Math.min(TICK_MOST, left * 1e9 + 1));
            } else {
                tell(new Router.Timer(timers.poll().token));
            }
        } finally {
            lock.unlock();
        }
    }

    private double elapsed(Owed entry) {
        return entry == null ? 0 : clock.now() - entry.sentAt;
    }

    private static Router.Status status(Outcome.Ending ending) {
        if (ending == Outcome.Ending.REJECTED) {
            // One client's bad request is no evidence against the engine that says so.
            return Router.Status.CANCELLED;
        }
        return Router.Status.valueOf(ending.name());
    }

    /** Hands the module one event at the time of now and sorts what it wants done. */
    private void tell(Router.Event event) {
        List<Router.Action> actions;
        try {
            actions = router.handle(clock.now(), event);
        } catch (RuntimeException e) {
            // Without this a fault in the module would leave its request without an answer.
            LOG.error("the decision module failed on {}", event, e);
            actions = event instanceof Router.Arrival arrival
                    ? List.of(new Router.Fail(arrival.request().id()))
                    : event instanceof Router.Outcome ended && !ended.closed()
                            ? List.of(new Router.Fail(ended.id()))
                            : List.of();
        }
        for (Router.Action action : actions) {
            if (action instanceof Router.Send send) {
                step(send.id(), new RoutingDecision.Forward(send.worker(), send.timeout()));
            } else if (action instanceof Router.Refuse refuse) {
                step(refuse.id(), new RoutingDecision.Reject(refuse.retryAfter()));
            } else if (action instanceof Router.Fail fail) {
                step(fail.id(), new RoutingDecision.Fail());
            } else if (action instanceof Router.Release release) {
                releases.accept(release.id());
            } else if (action instanceof Router.SetTimer timer) {
                timers.add(new Due(clock.now() + timer.delay(), timer.token()));
                timerSet.signal();
            }
            // Follow needs nothing: the discovery watch never ends.
        }
    }

    private void step(String id, RoutingDecision step) {
        Owed entry = owed.get(id);
        if (entry != null) {
            entry.steps.add(step);
            entry.sentAt = clock.now();
            entry.sends += step instanceof RoutingDecision.Forward ? 1 : 0;
            entry.ready.signal();
        }
    }
}

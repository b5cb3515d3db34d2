package dunlinladder.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the requests that are taken and drives each to its single final answer. */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    private final RequestRouter decider;
    private final EngineRegistry engines;
    private final EngineTransport calls;
    private final Executor pool;
    private final Clock clock;
    private final Limits limits;
    private final Policy policy;
    private final Map<String, InFlightRequest> held = new ConcurrentHashMap<>();

    /** What the deployment says of classes and machine kinds. */
    public interface Policy {

        /** Whether requests of a class must not run twice. */
        boolean once(int serviceClass);

        /** Whether machines of a kind only read, which has no effect. */
        boolean readsOnly(int kind);
    }

    /** What is kept of a request that is being driven. */
    private static final class InFlightRequest {
        final Request request;
        final ResponseSink client;
        /** Clock time at which it was taken. */
        final double takenAt;

        EngineTransport.Call call;
        boolean gone;

        InFlightRequest(Request request, ResponseSink client, double takenAt) {
            this.request = request;
            this.client = client;
            this.takenAt = takenAt;
        }

        synchronized void sent(EngineTransport.Call started) {
            call = started;
            if (gone) {
                started.abandon();
            }
        }

        synchronized void leave() {
            gone = true;
            if (call != null) {
                call.abandon();
            }
        }

        synchronized boolean gone() {
            return gone;
        }
    }

    /** Creates a dispatcher that drives each request on a thread of {@code pool}. */
    public Dispatcher(
            RequestRouter decider,
            EngineRegistry engines,
            EngineTransport calls,
            Executor pool,
            Clock clock,
            Limits limits,
            Policy policy) {
        this.decider = decider;
        this.engines = engines;
        this.calls = calls;
        this.pool = pool;
        this.clock = clock;
        this.limits = limits;
        this.policy = policy;
    }

    /** How many requests are being driven. */
    public int activeRequests() {
        return held.size();
    }

    /** Takes a request; false when its id is in use, and then the client is told nothing. */
    public boolean submit(Request request, ResponseSink client) {
        InFlightRequest entry = new InFlightRequest(request, client, clock.now());
        if (held.putIfAbsent(request.id(), entry) != null) {
            return false;
        }
        try {
            if (held.size() > limits.requests()) {
                throw new RejectedExecutionException("over " + limits.requests() + " requests");
            }
            pool.execute(() -> drive(entry));
        } catch (RejectedExecutionException e) {
            held.remove(request.id());
            LOG.warn("request {} refused: {}", request.id(), e.getMessage());
            client.reject(0);
        }
        return true;
    }

    /** The client closed its connection: ends the request and the attempt that is out. */
    public void clientDisconnected(String id) {
        InFlightRequest entry = held.get(id);
        if (entry != null) {
            entry.leave();
            decider.clientDisconnected(id);
        }
    }

    private void drive(InFlightRequest entry) {
        Request request = entry.request;
        try {
            run(entry);
        } catch (InterruptedException | RuntimeException e) {
            // A fault of our own must not cost the client its final answer.
            LOG.error("request {} failed inside the gateway", request.id(), e);
            decider.clientDisconnected(request.id());
            entry.leave();
            entry.client.fail(ResponseSink.Failure.INTERNAL);
        } finally {
            held.remove(request.id());
        }
    }

    private void run(InFlightRequest entry) throws InterruptedException {
        Request request = entry.request;
        AttemptHistory trail = new AttemptHistory();
        while (true) {
            RoutingDecision step = decider.nextDecision(request);
            if (step instanceof RoutingDecision.Forward send) {
                if (attempt(entry, trail, send)) {
                    return;
                }
            } else {
                if (step instanceof RoutingDecision.Reject refuse) {
                    refuse(entry, trail, refuse);
                } else if (step instanceof RoutingDecision.Fail) {
                    LOG.debug(
                            "event=failed request={} class={} attempts={}",
                            request.id(),
                            request.serviceClass(),
                            trail);
                    entry.client.fail(why(trail));
                }
                return;
            }
        }
    }

    /** Whether a request that must not run twice may have run. */
    private boolean spent(Request request, AttemptHistory trail) {
        return policy.once(request.serviceClass()) && trail.mayHaveRun();
    }

    private boolean effect(Engine engine) {
        return engine == null || !policy.readsOnly(engine.kind());
    }

    /**
     * A refusal promises that asking again is harmless. It passes here alone, and only where the facts of all attempts
     * bear it out: else the request has failed, whatever the decisions made of it.
     */
    private void refuse(InFlightRequest entry, AttemptHistory trail, RoutingDecision.Reject refuse) {
        Request request = entry.request;
        if (spent(request, trail)) {
            LOG.error(
                    "event=refusal_forbidden request={} class={} attempts={}",
                    request.id(),
                    request.serviceClass(),
                    trail);
            entry.client.fail(why(trail));
        } else {
            LOG.debug("event=refused request={} class={} attempts={}", request.id(), request.serviceClass(), trail);
            entry.client.reject(refuse.retryAfter());
        }
    }

    private static ResponseSink.Failure why(AttemptHistory trail) {
        return trail.last() != null && trail.last().ending() != Outcome.Ending.TIMEOUT
                ? ResponseSink.Failure.ENGINE
                : ResponseSink.Failure.TIMEOUT;
    }

    /** Makes one attempt; true when the request is over with it. */
    private boolean attempt(InFlightRequest entry, AttemptHistory trail, RoutingDecision.Forward send)
            throws InterruptedException {
        Request request = entry.request;
        Engine engine = engines.find(send.engine());
        // A client that hears nothing by its deadline asks again elsewhere: the answer must be there before.
        double latest = request.deadline() - limits.answerMarginSeconds();
        double until = send.timeout() > 0 ? Math.min(latest, clock.now() + send.timeout()) : latest;
        Attempt attempt = new Attempt(
                request,
                trail.size(),
                engine != null ? engine : new Engine(send.engine(), "", 0, 0, 0, Engine.State.LEFT, 0, 0),
                until,
                effect(engine));
        boolean forbidden = spent(request, trail) && attempt.effect();
        double sentAt = clock.now();
        trail.sent(attempt, sentAt);
        if (forbidden) {
            // Whatever the decisions went by, the facts say that it would run a second time.
            LOG.error(
                    "event=send_forbidden request={} class={} attempts={}",
                    request.id(),
                    request.serviceClass(),
                    trail);
        }
        if (engine == null || forbidden || entry.gone()) {
            // Without an engine, because the list lost it since the decision; or the client left since then.
            return unsent(entry, trail, attempt);
        }
        boolean[] begun = {false};
        double[] firstAt = {0};
        EngineTransport.Call call;
        try {
            call = calls.send(attempt, entry.client, () -> {
                firstAt[0] = clock.now();
                begun[0] = true;
                decider.firstToken(attempt);
            });
        } catch (RuntimeException e) {
            LOG.warn("event=not_sent request={} engine={}", request.id(), engine.id(), e);
            return unsent(entry, trail, attempt);
        }
        entry.sent(call);
        Outcome outcome = call.await();
        double endedAt = clock.now();
        trail.ended(outcome, endedAt);
        if (LOG.isDebugEnabled()) {
            // What is needed to count across a fleet; deploy/fleet-counts.py reads it.
            LOG.debug(
                    "event=attempt request={} class={} attempt={} engine={} reads={} age={} outcome={} "
                            + "seconds={} since={} first={} prompt={} prefix={} kept={}",
                    request.id(),
                    request.serviceClass(),
                    attempt.number(),
                    engine.id(),
                    !attempt.effect(),
                    engine.startedAt() > 0 ? (long) (endedAt - engine.startedAt()) : "long",
                    outcome.ending(),
                    Seconds.text(endedAt - sentAt),
                    Seconds.text(sentAt - entry.takenAt),
                    begun[0] ? Seconds.text(firstAt[0] - entry.takenAt) : "-",
                    (long) request.promptTokens(),
                    (long) request.prefixTokens(),
                    (long) outcome.note());
        }
        boolean ok = outcome.ending() == Outcome.Ending.OK;
        boolean rejected = outcome.ending() == Outcome.Ending.REJECTED;
        boolean last = ok || begun[0] || rejected || entry.gone();
        decider.attemptEnded(attempt, outcome, last);
        if (last && !entry.gone()) {
            if (rejected) {
                entry.client.fail(ResponseSink.Failure.REQUEST);
            } else if (ok) {
                entry.client.complete();
            } else {
                entry.client.abortStream();
            }
        }
        return last;
    }

    /** Nothing of an attempt was sent; true when the request is over with it. */
    private boolean unsent(InFlightRequest entry, AttemptHistory trail, Attempt attempt) {
        boolean gone = entry.gone();
        Outcome outcome = Outcome.of(Outcome.Ending.CONNECT_FAILED);
        trail.ended(outcome, clock.now());
        decider.attemptEnded(attempt, outcome, gone);
        return gone;
    }
}

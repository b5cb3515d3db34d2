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

    private final Decider decider;
    private final Engines engines;
    private final EngineCalls calls;
    private final Executor pool;
    private final Clock clock;
    private final Limits limits;
    private final Map<String, Held> held = new ConcurrentHashMap<>();

    /** What is kept of a request that is being driven. */
    private static final class Held {
        final Request request;
        final Client client;
        EngineCalls.Call call;
        boolean gone;

        Held(Request request, Client client) {
            this.request = request;
            this.client = client;
        }

        synchronized void sent(EngineCalls.Call started) {
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
    public Dispatcher(Decider decider, Engines engines, EngineCalls calls, Executor pool, Clock clock,
            Limits limits) {
        this.decider = decider;
        this.engines = engines;
        this.calls = calls;
        this.pool = pool;
        this.clock = clock;
        this.limits = limits;
    }

    /** How many requests are being driven. */
    public int active() {
        return held.size();
    }

    /** Takes a request; false when its id is in use, and then the client is told nothing. */
    public boolean take(Request request, Client client) {
        Held entry = new Held(request, client);
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
            client.refuse(0);
        }
        return true;
    }

    /** The client closed its connection: ends the request and the attempt that is out. */
    public void gone(String id) {
        Held entry = held.get(id);
        if (entry != null) {
            entry.leave();
            decider.gone(id);
        }
    }

    private void drive(Held entry) {
        Request request = entry.request;
        try {
            run(entry);
        } catch (InterruptedException | RuntimeException e) {
            // A fault of our own must not cost the client its final answer.
            LOG.error("request {} failed inside the gateway", request.id(), e);
            decider.gone(request.id());
            entry.leave();
            entry.client.fail(Client.Failure.INTERNAL);
        } finally {
            held.remove(request.id());
        }
    }

    private void run(Held entry) throws InterruptedException {
        Client client = entry.client;
        Outcome outcome = null;
        for (int number = 0;; number++) {
            Step step = decider.pick(entry.request);
            if (step instanceof Step.Send send) {
                outcome = attempt(entry, number, send);
                if (outcome == null) {
                    return;
                }
            } else {
                if (step instanceof Step.Refuse refuse) {
                    LOG.debug("request {} of class {} refused after {}", entry.request.id(),
                            entry.request.serviceClass(), outcome);
                    client.refuse(refuse.retryAfter());
                } else if (step instanceof Step.Fail) {
                    LOG.debug("request {} of class {} failed after {}", entry.request.id(),
                            entry.request.serviceClass(), outcome);
                    client.fail(outcome != null && outcome.ending() != Outcome.Ending.TIMEOUT
                            ? Client.Failure.ENGINE : Client.Failure.TIMEOUT);
                }
                return;
            }
        }
    }

    /** Makes one attempt; null when the request is over with it. */
    private Outcome attempt(Held entry, int number, Step.Send send) throws InterruptedException {
        Request request = entry.request;
        Engine engine = engines.find(send.engine());
        // A client that hears nothing by its deadline asks again elsewhere: the answer must be there before.
        double latest = request.deadline() - limits.answerSeconds();
        double until = send.timeout() > 0 ? Math.min(latest, clock.now() + send.timeout()) : latest;
        Attempt attempt = new Attempt(request, number, engine, until);
        if (engine == null) {
            // The list lost it between the decision and here; nothing was sent.
            boolean gone = entry.gone();
            Outcome unsent = Outcome.of(Outcome.Ending.CONNECT_FAILED);
            decider.ended(new Attempt(request, number, new Engine(send.engine(), "", 0, 0, 0,
                    Engine.State.LEFT, 0, 0), until), unsent, gone);
            return gone ? null : unsent;
        }
        boolean[] begun = {false};
        EngineCalls.Call call = calls.send(attempt, entry.client, () -> {
            begun[0] = true;
            decider.firstToken(attempt);
        });
        entry.sent(call);
        Outcome outcome = call.await();
        LOG.debug("request {} attempt {} at {}: {}", request.id(), number, engine.id(), outcome);
        boolean ok = outcome.ending() == Outcome.Ending.OK;
        boolean last = ok || begun[0] || entry.gone();
        decider.ended(attempt, outcome, last);
        if (last && !entry.gone()) {
            if (ok) {
                entry.client.end();
            } else {
                entry.client.cut();
            }
        }
        return last ? null : outcome;
    }
}

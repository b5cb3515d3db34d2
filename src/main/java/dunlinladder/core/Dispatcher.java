package dunlinladder.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts requests and drives each, on a thread of its own, to its single final answer: it asks the
 * {@link RequestRouter} what is to be done next, and does it, until nothing is owed to the client any more.
 */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    private final RequestRouter router;
    private final SendGuard guard;
    private final Executor executor;
    private final MonotonicClock clock;
    private final Settings settings;
    private final Counters counters;
    private final AttemptRunner attempts;
    private final Map<String, InFlightRequest> inFlight = new ConcurrentHashMap<>();

    /**
     * What bounds a dispatcher.
     *
     * @param maxRequests requests that may be in flight at once
     * @param answerMarginSeconds before the client's deadline at which an attempt without a first token ends
     */
    public record Settings(int maxRequests, double answerMarginSeconds) {}

    /** Creates a dispatcher that drives each request in one task of {@code executor}. */
    public Dispatcher(
            RequestRouter router,
            SendGuard guard,
            EngineTransport transport,
            Executor executor,
            Instruments instruments,
            Settings settings) {
        this.router = router;
        this.guard = guard;
        this.executor = executor;
        this.clock = instruments.clock();
        this.settings = settings;
        this.counters = instruments.counters();
        this.attempts = new AttemptRunner(router, guard, transport, instruments, settings);
    }

    /** The number of requests in flight. */
    public int activeRequests() {
        return inFlight.size();
    }

    /**
     * Accepts a request, which then gets exactly one final answer; one for which there is no room gets it at once.
     *
     * @return false when a request with this id is in flight already, and then the client gets no answer from here
     */
    public boolean submit(Request request, ResponseSink client) {
        InFlightRequest accepted = new InFlightRequest(request, client, clock.now());
        if (inFlight.putIfAbsent(request.id(), accepted) != null) {
            return false;
        }
        counters.increment(Counter.REQUESTS);
        try {
            if (inFlight.size() > settings.maxRequests()) {
                throw new RejectedExecutionException("over " + settings.maxRequests() + " requests");
            }
            executor.execute(() -> drive(accepted));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            // The latter where the system lets the process have no further thread.
            inFlight.remove(request.id());
            counters.increment(Counter.REQUESTS_REJECTED);
            LOG.warn("event=request_not_accepted request={} reason=\"{}\"", request.id(), e.getMessage());
            client.reject(RoutingDecision.NO_ADVICE);
        }
        return true;
    }

    /** Reports that the client closed its connection: ends the request and the attempt in flight. */
    public void clientDisconnected(String id) {
        InFlightRequest request = inFlight.get(id);
        if (request != null) {
            counters.increment(Counter.CLIENTS_GONE);
            LOG.debug("event=client_gone request={}", id);
            request.disconnect();
            router.clientDisconnected(id);
        }
    }

    /**
     * Gives all requests without a stream their final answer now, as the process ends before their deadlines; may be
     * called again for those that have arrived meanwhile.
     */
    public void expireRequests() {
        inFlight.forEach((id, request) -> {
            if (!request.isExpired() && request.expire()) {
                counters.increment(Counter.REQUESTS_EXPIRED);
                router.clientDisconnected(id);
            }
        });
    }

    private void drive(InFlightRequest request) {
        boolean interrupted = false;
        try {
            followDecisions(request);
        } catch (InterruptedException e) {
            interrupted = true;
            failInternally(request, e);
        } catch (RuntimeException | Error e) {
            // Of any kind: a fault of the gateway's own must not cost the client its final answer.
            failInternally(request, e);
        } finally {
            inFlight.remove(request.request().id());
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void failInternally(InFlightRequest request, Throwable fault) {
        String id = request.request().id();
        LOG.error("event=request_error request={}", id, fault);
        router.clientDisconnected(id);
        request.disconnect();
        request.client().fail(ResponseSink.Failure.INTERNAL);
    }

    private void followDecisions(InFlightRequest request) throws InterruptedException {
        boolean over = false;
        while (!over) {
            over = follow(request, router.nextDecision(request.request()));
        }
    }

    /** Does what was decided; true when nothing is owed to the client any more. */
    private boolean follow(InFlightRequest request, RoutingDecision decision) throws InterruptedException {
        if (decision instanceof RoutingDecision.Forward forward) {
            return attempts.run(request, forward);
        }
        if (decision instanceof RoutingDecision.Reject reject) {
            reject(request, reject);
        } else if (decision instanceof RoutingDecision.Fail) {
            counters.increment(Counter.REQUESTS_FAILED);
            logFinalAnswer("request_failed", request);
            request.client().fail(failure(request.history()));
        } else if (request.isExpired()) {
            answerExpired(request);
        }
        return true;
    }

    /** The process ends before the client's deadline: a rejection where nothing can have run, else a failure. */
    private void answerExpired(InFlightRequest request) {
        logFinalAnswer("request_expired", request);
        if (guard.allowsRejection(request.request(), request.history())) {
            request.client().reject(RoutingDecision.NO_ADVICE);
        } else {
            request.client().fail(ResponseSink.Failure.TIMEOUT);
        }
    }

    /**
     * A rejection promises that a retry is harmless. It is given here alone, and only where the facts of all attempts
     * bear it out: else the request has failed, whatever the policy made of it.
     */
    private void reject(InFlightRequest inFlightRequest, RoutingDecision.Reject reject) {
        Request request = inFlightRequest.request();
        AttemptHistory history = inFlightRequest.history();
        if (!guard.allowsRejection(request, history)) {
            LOG.error(
                    "event=reject_forbidden request={} class={} attempts={}",
                    request.id(),
                    request.serviceClass(),
                    history.logText());
            inFlightRequest.client().fail(failure(history));
        } else {
            counters.increment(Counter.REQUESTS_REJECTED);
            logFinalAnswer("request_rejected", inFlightRequest);
            inFlightRequest.client().reject(reject.retryAfter());
        }
    }

    private void logFinalAnswer(String event, InFlightRequest request) {
        if (LOG.isInfoEnabled()) {
            LOG.info(
                    "event={} request={} class={} seconds={} left={} attempts={}",
                    event,
                    request.request().id(),
                    request.request().serviceClass(),
                    Seconds.text(clock.now() - request.acceptedAt()),
                    Seconds.text(request.request().deadline() - clock.now()),
                    request.history().logText());
        }
    }

    /** What the client is told of a failure: the engine's, unless nothing came in time. */
    private static ResponseSink.Failure failure(AttemptHistory history) {
        return history.lastOutcome()
                .filter(outcome -> outcome.ending() != Outcome.Ending.TIMEOUT)
                .map(outcome -> ResponseSink.Failure.ENGINE)
                .orElse(ResponseSink.Failure.TIMEOUT);
    }
}

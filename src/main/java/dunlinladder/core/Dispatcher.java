package dunlinladder.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts requests and drives each, on a separate thread, to its single final answer. It asks the {@link RequestRouter}
 * for decisions and carries them out until the request has its final answer or its client has left. A request keeps its
 * thread until its stream begins.
 */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    /** Ids have at most some hundred characters, so that all take less than 1 MB of heap. */
    private static final int MAX_REMEMBERED_RUNS = 4096;

    private final RequestRouter router;
    private final SendGuard guard;
    private final Executor executor;
    private final MonotonicClock clock;
    private final Settings settings;
    private final Counters counters;
    private final AttemptRunner attempts;
    private final Map<String, InFlightRequest> inFlight = new ConcurrentHashMap<>();
    private final RecentRuns recentRuns = new RecentRuns(MAX_REMEMBERED_RUNS);

    /**
     * Limits of a dispatcher.
     *
     * @param maxRequests maximum number of requests in flight, with those whose streams have begun
     * @param answerMarginSeconds time before the client's deadline at which an attempt without a first token ends
     */
    public record Settings(int maxRequests, double answerMarginSeconds) {}

    /** Creates a dispatcher that drives each request, up to the beginning of its stream, in one task. */
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

    /** Returns the number of requests in flight. */
    public int activeRequests() {
        return inFlight.size();
    }

    /**
     * Accepts a request, which then gets exactly one final answer. The request is rejected at once when too many
     * requests are in flight or no thread can be started for it.
     *
     * @return false when a request with this id is already in flight, or has ended, may have run and must not run
     *     again; the client then gets no answer from this dispatcher
     */
    public boolean submit(Request request, ResponseSink client) {
        InFlightRequest accepted = new InFlightRequest(request, client, clock.now());
        if (inFlight.putIfAbsent(request.id(), accepted) != null) {
            return false;
        }
        if (recentRuns.contains(request.id())) {
            inFlight.remove(request.id());
            counters.increment(Counter.REQUESTS_REPEATED);
            LOG.info("event=request_repeated request={} class={}", request.id(), request.serviceClass());
            return false;
        }
        counters.increment(Counter.REQUESTS);
        try {
            if (inFlight.size() > settings.maxRequests()) {
                throw new RejectedExecutionException("more than " + settings.maxRequests() + " requests in flight");
            }
            executor.execute(() -> drive(accepted));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            // OutOfMemoryError: the system allows the process no further thread.
            inFlight.remove(request.id());
            counters.increment(Counter.REQUESTS_REJECTED);
            LOG.warn("event=request_not_accepted request={} reason=\"{}\"", request.id(), e.getMessage());
            client.reject(RoutingDecision.NO_ADVICE);
        }
        return true;
    }

    /** Counts a request that is not submitted, as its client has closed its connection before it was read. */
    public void clientGoneBeforeSubmission(String id) {
        counters.increment(Counter.CLIENTS_GONE_BEFORE_SUBMISSION);
        LOG.debug("event=client_gone request={}", id);
    }

    /** Ends a request and its attempt in flight because the client has closed its connection. */
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
     * Ends all requests without a stream, because the process ends before their deadlines. Each then gets its final
     * answer at once. May be called again for requests that have arrived in the meantime.
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
        boolean streaming = false;
        try {
            streaming = executeDecisions(request) == AttemptRunner.Result.STREAMING;
        } catch (InterruptedException e) {
            interrupted = true;
            failInternally(request, e);
        } catch (RuntimeException | Error e) {
            // Catches everything: the client must get its final answer even if the gateway itself fails.
            failInternally(request, e);
        } finally {
            if (!streaming) {
                requestEnded(request);
            }
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Concludes a request whose stream has ended; called by a thread of the transport. */
    private void streamEnded(InFlightRequest request, Runnable conclusion) {
        try {
            conclusion.run();
        } catch (RuntimeException | Error e) {
            // Catches everything, as in drive().
            failInternally(request, e);
        } finally {
            requestEnded(request);
        }
    }

    private void requestEnded(InFlightRequest request) {
        try {
            // Before the id is free: the same request may be waiting to come again.
            recentRuns.requestEnded(request.request(), guard.rerunRule(request.request()), request.history());
        } finally {
            inFlight.remove(request.request().id());
        }
    }

    private void failInternally(InFlightRequest request, Throwable fault) {
        String id = request.request().id();
        LOG.error("event=request_error request={}", id, fault);
        router.clientDisconnected(id);
        request.disconnect();
        request.client().fail(ResponseSink.Failure.INTERNAL);
    }

    private AttemptRunner.Result executeDecisions(InFlightRequest request) throws InterruptedException {
        AttemptRunner.Result result = AttemptRunner.Result.UNDECIDED;
        while (result == AttemptRunner.Result.UNDECIDED) {
            RoutingDecision decision = router.nextDecision(request.request());
            result = decision instanceof RoutingDecision.Forward forward
                    ? attempts.run(request, forward, this::streamEnded)
                    : answer(request, decision);
        }
        return result;
    }

    /** Gives the final answer that the router has decided on. */
    private AttemptRunner.Result answer(InFlightRequest request, RoutingDecision decision) {
        if (decision instanceof RoutingDecision.Reject reject) {
            reject(request, reject);
        } else if (decision instanceof RoutingDecision.Fail) {
            counters.increment(Counter.REQUESTS_FAILED);
            logFinalAnswer("request_failed", request);
            request.client().fail(failureReason(request.history()));
        } else if (request.isExpired()) {
            answerExpired(request);
        }
        return AttemptRunner.Result.FINISHED;
    }

    /**
     * Answers a request that was ended because the process ends before the client's deadline: with a rejection if a
     * retry is harmless, otherwise with a failure.
     */
    private void answerExpired(InFlightRequest request) {
        logFinalAnswer("request_expired", request);
        if (guard.allowsRejection(request.request(), request.history())) {
            request.client().reject(RoutingDecision.NO_ADVICE);
        } else {
            request.client().fail(ResponseSink.Failure.TIMEOUT);
        }
    }

    /**
     * Rejects a request, which promises the client that a retry is harmless. If the facts of all attempts do not
     * guarantee that, the request fails instead, whatever the policy decided.
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
            inFlightRequest.client().fail(failureReason(history));
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

    /**
     * Returns the reason of a failure for the client: {@code TIMEOUT} when the last attempt timed out or there was
     * none, otherwise {@code ENGINE}.
     */
    private static ResponseSink.Failure failureReason(AttemptHistory history) {
        return history.lastOutcome()
                .filter(outcome -> outcome.ending() != Outcome.Ending.TIMEOUT)
                .map(outcome -> ResponseSink.Failure.ENGINE)
                .orElse(ResponseSink.Failure.TIMEOUT);
    }
}

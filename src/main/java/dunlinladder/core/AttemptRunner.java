package dunlinladder.core;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Makes one attempt at a time for a request: checks that it may be made, sends it, waits for its end, reports it. */
final class AttemptRunner {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptRunner.class);
    private static final String ENDED_FORMAT = "event=attempt_ended request={} class={} attempt={} engine={} "
            + "prefill_only={} engine_age={} outcome={} seconds={} since_arrival={} first_token={} prompt={} prefix={} "
            + "cached={}";

    private final RequestRouter router;
    private final EngineRegistry engines;
    private final EngineTransport transport;
    private final Clock clock;
    private final Dispatcher.Settings settings;
    private final Counters counters;

    /**
     * When the first token of one attempt came. The transport's thread writes it before the attempt ends, the driving
     * thread reads it after that.
     */
    private static final class FirstTokenTime {
        private volatile double at = Double.NaN;

        void set(double now) {
            at = now;
        }

        boolean isSet() {
            return !Double.isNaN(at);
        }

        /** Seconds from a clock time to the first token, as the log states them; {@code -} where none came. */
        String logTextSince(double start) {
            return isSet() ? Seconds.text(at - start) : "-";
        }
    }

    AttemptRunner(
            RequestRouter router,
            EngineRegistry engines,
            EngineTransport transport,
            Instruments instruments,
            Dispatcher.Settings settings) {
        this.router = router;
        this.engines = engines;
        this.transport = transport;
        this.clock = instruments.clock();
        this.settings = settings;
        this.counters = instruments.counters();
    }

    /** Makes one attempt; true when nothing is owed to the client any more. */
    boolean run(InFlightRequest request, RoutingDecision.Forward forward) throws InterruptedException {
        Optional<Engine> listed = engines.find(forward.engine());
        Attempt attempt = prepare(request, forward, listed);
        boolean forbidden =
                settings.rules().forbidsRerun(request.request(), request.history()) && attempt.mayHaveEffect();
        double sentAt = clock.now();
        request.history().recordSent(attempt, sentAt);
        if (forbidden) {
            logForbidden(request);
        }
        // The list may have lost the engine, or the client may have left, since the decision.
        if (forbidden || listed.isEmpty() || request.isDisconnected()) {
            return endNotSent(request, attempt);
        }
        FirstTokenTime firstToken = new FirstTokenTime();
        counters.increment(Counter.ATTEMPTS);
        Optional<EngineTransport.Call> call = send(request, attempt, firstToken);
        if (call.isEmpty()) {
            return endNotSent(request, attempt);
        }
        Outcome outcome = call.get().await();
        double endedAt = clock.now();
        request.history().recordEnd(outcome, endedAt);
        count(outcome);
        logEnded(request, attempt, outcome, sentAt, endedAt, firstToken);
        return conclude(request, attempt, outcome, firstToken.isSet());
    }

    private Attempt prepare(InFlightRequest request, RoutingDecision.Forward forward, Optional<Engine> listed) {
        // A client that hears nothing by its deadline asks again elsewhere: the answer must be there before.
        double latest = request.request().deadline() - settings.answerMarginSeconds();
        double firstTokenDeadline = forward.timeout() > 0 ? Math.min(latest, clock.now() + forward.timeout()) : latest;
        return new Attempt(
                request.request(),
                request.history().size(),
                listed.orElseGet(() -> Engine.unlisted(forward.engine())),
                firstTokenDeadline,
                listed.isEmpty() || !settings.rules().isPrefillOnly(listed.get().kind()));
    }

    /** Begins an attempt; empty where that failed and nothing was sent. */
    private Optional<EngineTransport.Call> send(InFlightRequest request, Attempt attempt, FirstTokenTime firstToken) {
        EngineTransport.Call call;
        try {
            call = transport.send(attempt, request.client(), () -> {
                firstToken.set(clock.now());
                router.firstToken(attempt);
            });
        } catch (RuntimeException e) {
            // Of any kind: a request that cannot be written for this engine may still go to another.
            LOG.warn(
                    "event=attempt_not_started request={} engine={}",
                    request.request().id(),
                    attempt.engine().id(),
                    e);
            return Optional.empty();
        }
        request.begun(call);
        return Optional.of(call);
    }

    /** Nothing of an attempt was sent; true when nothing is owed to the client any more, as it has left. */
    private boolean endNotSent(InFlightRequest request, Attempt attempt) {
        boolean disconnected = request.isDisconnected();
        Outcome outcome = Outcome.of(Outcome.Ending.CONNECT_FAILED);
        count(outcome);
        LOG.info(
                "event=attempt_refused request={} attempt={} engine={} client_gone={}",
                attempt.request().id(),
                attempt.number(),
                attempt.engine().id(),
                disconnected);
        request.history().recordEnd(outcome, clock.now());
        router.attemptEnded(attempt, outcome, disconnected);
        return disconnected;
    }

    /** Reports an attempt's end and gives the client what follows from it; true when that was all it is owed. */
    private boolean conclude(InFlightRequest request, Attempt attempt, Outcome outcome, boolean streamBegan) {
        boolean complete = outcome.ending() == Outcome.Ending.OK;
        boolean rejected = outcome.ending() == Outcome.Ending.REJECTED;
        boolean last = complete || streamBegan || rejected || request.isDisconnected();
        router.attemptEnded(attempt, outcome, last);
        if (last && !request.isDisconnected()) {
            if (rejected) {
                request.client().fail(ResponseSink.Failure.REQUEST);
            } else if (complete) {
                request.client().complete();
            } else {
                request.client().abortStream();
            }
        }
        return last;
    }

    /** Whatever the policy went by, the facts say that the request would run a second time. */
    private static void logForbidden(InFlightRequest request) {
        LOG.error(
                "event=retry_forbidden request={} class={} attempts={}",
                request.request().id(),
                request.request().serviceClass(),
                request.history().logText());
    }

    private void count(Outcome outcome) {
        switch (outcome.ending()) {
            case CONNECT_FAILED -> counters.increment(Counter.ATTEMPTS_NOT_SENT);
            case RESET -> counters.increment(Counter.ATTEMPTS_RESET);
            case TIMEOUT -> counters.increment(Counter.ATTEMPTS_TIMED_OUT);
            default -> {
                // Ordinary ends are counted by the requests.
            }
        }
    }

    /** Whether an attempt ended in a way that its request's story needs, at a level that is on in service. */
    private static boolean isUnusual(Outcome outcome) {
        return switch (outcome.ending()) {
            case CONNECT_FAILED, RESET, TIMEOUT, ERROR -> true;
            default -> false;
        };
    }

    /** What is needed to count across a fleet; deploy/fleet-counts.py reads it. */
    private static void logEnded(
            InFlightRequest inFlight,
            Attempt attempt,
            Outcome outcome,
            double sentAt,
            double endedAt,
            FirstTokenTime firstToken) {
        if (!LOG.isDebugEnabled() && !isUnusual(outcome)) {
            return;
        }
        Request request = attempt.request();
        Engine engine = attempt.engine();
        LOG.atLevel(isUnusual(outcome) ? Level.INFO : Level.DEBUG)
                .log(
                        ENDED_FORMAT,
                        request.id(),
                        request.serviceClass(),
                        attempt.number(),
                        engine.id(),
                        !attempt.mayHaveEffect(),
                        engine.startedAt() > 0 ? (long) (endedAt - engine.startedAt()) : "-",
                        outcome.ending(),
                        Seconds.text(endedAt - sentAt),
                        Seconds.text(sentAt - inFlight.acceptedAt()),
                        firstToken.logTextSince(inFlight.acceptedAt()),
                        (long) request.promptTokens(),
                        (long) request.prefixTokens(),
                        (long) outcome.note());
    }
}

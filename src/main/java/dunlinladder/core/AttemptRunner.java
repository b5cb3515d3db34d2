package dunlinladder.core;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Makes the attempts of a request, one at a time: checks that an attempt may be sent, sends it, and reports its end.
 * The thread that drives the request waits until the stream begins; the end of a stream is handled on a thread of the
 * transport.
 */
final class AttemptRunner {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptRunner.class);
    private static final String ENDED_FORMAT = "event=attempt_ended request={} class={} attempt={} engine={} "
            + "prefill_only={} engine_age={} reach={} outcome={} seconds={} since_arrival={} first_token={} prompt={} "
            + "prefix={} cached={}";

    private final RequestRouter router;
    private final SendGuard guard;
    private final EngineTransport transport;
    private final MonotonicClock clock;
    private final Dispatcher.Settings settings;
    private final Counters counters;
    private final CacheHoldLedger cacheHolds;

    /** What has become of a request. */
    enum Result {
        /** It needs a further decision. */
        UNDECIDED,
        /** The client's stream has begun; what follows its end runs without the driving thread. */
        STREAMING,
        /** It is finished. */
        FINISHED
    }

    /** Receives a request whose stream has ended. */
    interface StreamEndListener {

        /** Reports the end; {@code conclusion} reports it to the router and gives the client its final answer. */
        void streamEnded(InFlightRequest request, Runnable conclusion);
    }

    /**
     * The progress of an attempt. The transport's threads write it before the attempt ends; the driving thread reads it
     * afterwards.
     */
    private final class Progress implements AttemptListener {
        private final Attempt attempt;
        /** Clock time of the send, in seconds. */
        private final double sentAt;

        private volatile AttemptReach reach = AttemptReach.UNWRITTEN;
        private volatile double firstTokenAt = Double.NaN;

        Progress(Attempt attempt, double sentAt) {
            this.attempt = attempt;
            this.sentAt = sentAt;
        }

        @Override
        public void requestWritten() {
            if (reach != AttemptReach.UNWRITTEN) {
                // Already confirmed: an engine may answer before it has received the whole request.
                return;
            }
            reach = AttemptReach.WRITTEN;
            cacheHolds.attemptWritten(attempt.request().id());
            logReached();
        }

        @Override
        public void confirmed() {
            reach = AttemptReach.CONFIRMED;
            cacheHolds.attemptConfirmed(attempt.request().id());
            logReached();
        }

        @Override
        public void confirmationOverdue() {
            counters.increment(Counter.ATTEMPTS_UNCONFIRMED);
            LOG.info(
                    "event=attempt_unconfirmed request={} class={} attempt={} engine={}",
                    attempt.request().id(),
                    attempt.request().serviceClass(),
                    attempt.number(),
                    attempt.engine().id());
            router.confirmationOverdue(attempt);
        }

        @Override
        public void firstToken() {
            firstTokenAt = clock.now();
            cacheHolds.firstToken(attempt.request().id());
            router.firstToken(attempt);
        }

        private void logReached() {
            LOG.debug(
                    "event=attempt_reached request={} attempt={} engine={} reach={}",
                    attempt.request().id(),
                    attempt.number(),
                    attempt.engine().id(),
                    reach.logName());
        }

        AttemptReach reach() {
            return reach;
        }

        boolean hasFirstToken() {
            return !Double.isNaN(firstTokenAt);
        }

        /** Formats the seconds from a clock time to the first token for the log; {@code -} when there was none. */
        String firstTokenTextSince(double start) {
            return hasFirstToken() ? Seconds.text(firstTokenAt - start) : "-";
        }
    }

    AttemptRunner(
            RequestRouter router,
            SendGuard guard,
            EngineTransport transport,
            Instruments instruments,
            Dispatcher.Settings settings) {
        this.router = router;
        this.guard = guard;
        this.transport = transport;
        this.clock = instruments.clock();
        this.settings = settings;
        this.counters = instruments.counters();
        this.cacheHolds = instruments.cacheHolds();
    }

    /** Makes one attempt; {@code listener} is notified of the end of its stream, if one begins. */
    Result run(InFlightRequest request, RoutingDecision.Forward forward, StreamEndListener listener)
            throws InterruptedException {
        Attempt attempt = prepare(request, forward);
        Optional<SendRefusal> refusal = guard.refusalToBegin(attempt, request.history(), isCancelled(request));
        double sentAt = clock.now();
        request.history().recordSent(attempt, sentAt);
        if (refusal.isPresent()) {
            logRefused(request, attempt, refusal.get());
            return endNotSent(request, attempt);
        }
        counters.increment(Counter.ATTEMPTS);
        Progress progress = new Progress(attempt, sentAt);
        Optional<EngineTransport.Call> call = send(request, attempt, progress);
        if (call.isEmpty()) {
            return endNotSent(request, attempt);
        }
        Optional<Outcome> outcome = call.get().awaitEndOrStream();
        if (outcome.isPresent()) {
            return end(request, progress, outcome.get(), false) ? Result.FINISHED : Result.UNDECIDED;
        }
        call.get().onEnd(result -> listener.streamEnded(request, () -> end(request, progress, result, true)));
        return Result.STREAMING;
    }

    /** Records and reports the end of an attempt; returns whether the request is finished. */
    private boolean end(InFlightRequest request, Progress progress, Outcome outcome, boolean streaming) {
        Attempt attempt = progress.attempt;
        double endedAt = clock.now();
        releaseOverduePrefillCache(attempt, endedAt);
        request.history().recordEnd(outcome, progress.reach(), endedAt);
        cacheHolds.attemptEnded(attempt, outcome, progress.reach(), endedAt);
        count(outcome);
        logEnded(request, outcome, endedAt, progress);
        return conclude(request, outcome, progress, streaming);
    }

    /** Whether no further attempt may be sent; also asks the client's connection, whose end may not be reported yet. */
    private static boolean isCancelled(InFlightRequest request) {
        return request.client().hasDisconnected() || request.isCancelled();
    }

    private Attempt prepare(InFlightRequest request, RoutingDecision.Forward forward) {
        Optional<Engine> listed = guard.find(forward.engine());
        // A client without an answer by its deadline retries elsewhere, so the answer has to be ready before that.
        double maxDeadline = request.request().deadline() - settings.answerMarginSeconds();
        double firstTokenDeadline =
                forward.timeout() > 0 ? Math.min(maxDeadline, clock.now() + forward.timeout()) : maxDeadline;
        boolean mayHaveEffect = listed.isEmpty() || !guard.isPrefillOnly(listed.get());
        return new Attempt(
                request.request(),
                request.history().size(),
                listed.orElseGet(() -> Engine.unlisted(forward.engine())),
                firstTokenDeadline,
                guard.latestSend(request.request(), request.history(), mayHaveEffect),
                cacheHolds.arrivalDeadlines(request.request().id()),
                mayHaveEffect);
    }

    /** Starts an attempt; returns empty when that failed and nothing was sent. */
    private Optional<EngineTransport.Call> send(InFlightRequest request, Attempt attempt, AttemptListener listener) {
        EngineTransport.Call call;
        try {
            call = transport.send(attempt, request.client(), listener);
        } catch (RuntimeException e) {
            // Catches every exception: a request that cannot be written for this engine may still go to another.
            LOG.warn(
                    "event=attempt_not_started request={} engine={}",
                    request.request().id(),
                    attempt.engine().id(),
                    e);
            return Optional.empty();
        }
        request.attemptStarted(call);
        return Optional.of(call);
    }

    /**
     * Has the router release a KV cache that an earlier prefill with a lost answer may have left, if it cannot be held
     * any longer when a further prefill attempt ends.
     */
    private void releaseOverduePrefillCache(Attempt attempt, double now) {
        if (!attempt.mayHaveEffect()
                && cacheHolds.isReleaseDue(attempt.request().id(), now)) {
            router.confirmationOverdue(attempt);
        }
    }

    /** Ends an attempt of which nothing was sent; the request is finished if the client has left. */
    private Result endNotSent(InFlightRequest request, Attempt attempt) {
        boolean disconnected = request.isDisconnected();
        Outcome outcome = Outcome.of(Outcome.Ending.CONNECT_FAILED);
        count(outcome);
        releaseOverduePrefillCache(attempt, clock.now());
        request.history().recordEnd(outcome, AttemptReach.UNWRITTEN, clock.now());
        router.attemptEnded(attempt, outcome, AttemptReach.UNWRITTEN, disconnected);
        return disconnected ? Result.FINISHED : Result.UNDECIDED;
    }

    /**
     * Reports the end of an attempt and gives the client the final answer that follows from it, if any; returns whether
     * the request is finished.
     */
    private boolean conclude(InFlightRequest request, Outcome outcome, Progress progress, boolean streaming) {
        boolean complete = outcome.ending() == Outcome.Ending.OK;
        boolean rejected = outcome.ending() == Outcome.Ending.REJECTED;
        boolean last = complete || streaming || progress.hasFirstToken() || rejected || request.isDisconnected();
        router.attemptEnded(progress.attempt, outcome, progress.reach(), last);
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

    private static void logRefused(InFlightRequest request, Attempt attempt, SendRefusal refusal) {
        // RERUN_FORBIDDEN is an error: whatever the policy assumed, the facts show that the request may have run.
        Level level = refusal == SendRefusal.RERUN_FORBIDDEN ? Level.ERROR : Level.INFO;
        LOG.atLevel(level)
                .log(
                        "event=attempt_refused request={} class={} engine={} reason={} attempts={}",
                        attempt.request().id(),
                        attempt.request().serviceClass(),
                        attempt.engine().id(),
                        refusal.logName(),
                        request.history().logText());
    }

    private void count(Outcome outcome) {
        switch (outcome.ending()) {
            case CONNECT_FAILED -> counters.increment(Counter.ATTEMPTS_NOT_SENT);
            case RESET -> counters.increment(Counter.ATTEMPTS_RESET);
            case TIMEOUT -> counters.increment(Counter.ATTEMPTS_TIMED_OUT);
            default -> {
                // Other endings have no counter of their own; their requests are counted.
            }
        }
    }

    /**
     * Whether an attempt ended abnormally. Such ends are needed to trace the request and are therefore logged at INFO,
     * which is enabled in production.
     */
    private static boolean isUnusual(Outcome outcome) {
        return switch (outcome.ending()) {
            case CONNECT_FAILED, RESET, TIMEOUT, ERROR -> true;
            default -> false;
        };
    }

    /** Logs the data that deploy/fleet-counts.py reads to count attempts across a fleet. */
    private static void logEnded(InFlightRequest inFlight, Outcome outcome, double endedAt, Progress progress) {
        if (!LOG.isDebugEnabled() && !isUnusual(outcome)) {
            return;
        }
        Attempt attempt = progress.attempt;
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
                        progress.reach().logName(),
                        outcome.ending(),
                        Seconds.text(endedAt - progress.sentAt),
                        Seconds.text(progress.sentAt - inFlight.acceptedAt()),
                        progress.firstTokenTextSince(inFlight.acceptedAt()),
                        (long) request.promptTokens(),
                        (long) request.prefixTokens(),
                        (long) outcome.note());
    }
}

package dunlinladder.routing;

import dunlinladder.routing.AttemptState.Stage;
import dunlinladder.routing.RequestState.PossibleRun;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Makes all routing decisions of one gateway and controls the life cycle of each request. The selectors and policies of
 * this package choose the engines and document the reasons; the scheme is that of DistServe. {@code docs/design.md}
 * describes when each exception applies. Not thread-safe: one thread may call it at a time.
 */
public final class RoutingPolicy implements Router {
    /** Tokens of the timers. */
    private static final long RECHECK_TIMER = 0;

    private static final long DISCOVERY_RETRY_TIMER = 1;

    final PolicyContext context;
    private final EndpointTable endpoints;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private final AdmissionControl admission;
    private final EngineCost cost;
    private final StartSelector startSelector;
    private final DecodeSelector decodeSelector;
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final Set<RequestState> waiting = new LinkedHashSet<>();
    private List<RoutingAction> actions = new ArrayList<>();
    private boolean recheckTimerSet;
    private int failedDiscoveryCalls;

    /** Creates the routing policy of one gateway; {@code seed} initializes its random numbers. */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        context = new PolicyContext(settings, seed);
        endpoints = new EndpointTable(context);
        retries = new RetryPolicy(context);
        outliers = new OutlierDetector(context, retries);
        admission = new AdmissionControl(context, outliers);
        cost = new EngineCost(context);
        EngineRanking ranking = new EngineRanking(context);
        startSelector = new StartSelector(
                context,
                retries,
                outliers,
                admission,
                new PrefillSelector(context, outliers, cost, ranking),
                new MixedEngineSelector(context, outliers, cost, ranking));
        decodeSelector = new DecodeSelector(context, outliers, cost, ranking);
    }

    @Override
    public List<RoutingAction> handle(double now, RoutingEvent event) {
        actions = new ArrayList<>();
        context.now = now;
        if (event instanceof RoutingEvent.EndpointsChanged changed) {
            endpointsChanged(changed);
        } else if (event instanceof RoutingEvent.RequestArrived arrived) {
            requestArrived(arrived.request());
        } else if (event instanceof RoutingEvent.FirstTokenReceived received) {
            attempt(received.id(), received.attempt())
                    .filter(attempt -> !attempt.hasFirstToken())
                    .ifPresent(attempt -> firstTokenReceived(attempt, received));
        } else if (event instanceof RoutingEvent.ConfirmationOverdue overdue) {
            attempt(overdue.id(), overdue.attempt()).ifPresent(this::confirmationOverdue);
        } else if (event instanceof RoutingEvent.AttemptEnded ended) {
            attempt(ended.id(), ended.attempt()).ifPresent(attempt -> attemptEnded(attempt, ended));
        } else if (event instanceof RoutingEvent.ClientDisconnected disconnected) {
            Optional.ofNullable(requests.get(disconnected.id())).ifPresent(this::end);
        } else if (event instanceof RoutingEvent.TimerFired timer) {
            timerFired(timer.token());
        }
        if (!waiting.isEmpty() && !recheckTimerSet) {
            recheckTimerSet = true;
            actions.add(new RoutingAction.SetTimer(RECHECK_TIMER, RetryPolicy.RECHECK_INTERVAL_SECONDS));
        }
        return actions;
    }

    private Optional<AttemptState> attempt(String id, int number) {
        return Optional.ofNullable(requests.get(id)).map(request -> request.inFlight.get(number));
    }

    private void endpointsChanged(RoutingEvent.EndpointsChanged event) {
        if (event.scope() == RoutingEvent.Scope.FAILED) {
            double delay = OutlierDetector.backoffSeconds(++failedDiscoveryCalls);
            actions.add(new RoutingAction.SetTimer(DISCOVERY_RETRY_TIMER, delay));
            return;
        }
        if (event.scope() == RoutingEvent.Scope.CACHED && context.settings.changesOnRequest()) {
            actions.add(new RoutingAction.WatchEndpoints());
        } else {
            failedDiscoveryCalls = 0;
        }
        endpoints.apply(event);
        List.copyOf(waiting).forEach(this::route);
    }

    private void timerFired(long token) {
        if (token != RECHECK_TIMER) {
            actions.add(new RoutingAction.WatchEndpoints());
            return;
        }
        recheckTimerSet = false;
        for (RequestState request : List.copyOf(waiting)) {
            if (retries.cacheWaitedTooLong(request)) {
                release(request);
            }
            route(request);
        }
    }

    private void requestArrived(RoutingEvent.Request details) {
        if (requests.containsKey(details.id())) {
            return;
        }
        RequestState request =
                new RequestState(details, context.settings.classes().get(details.serviceClass()));
        requests.put(request.id(), request);
        context.load.requestArrived(request);
        context.prefixFrequency.count(details.prefix());
        retries.refillBudget();
        admission.requestArrived(request);
        route(request);
    }

    /**
     * Takes the next step of a request that has no attempt in flight. If a prefill engine holds its KV cache, forwards
     * it to a decode engine, else to an engine that prefills. The request waits if no engine is available. It gets its
     * final answer if no further attempt is possible or admission control rejects it.
     */
    private void route(RequestState request) {
        if (request.ended || !request.inFlight.isEmpty()) {
            return;
        }
        if (retries.isExhausted(request)) {
            giveFinalAnswer(request);
            return;
        }
        context.fleet.refresh(cost::decodeLoad);
        boolean prefilled = request.cacheEngine != null;
        Optional<EngineState> engine = prefilled ? decodeSelector.select(request) : startSelector.select(request);
        if (engine.isEmpty()) {
            waiting.add(request);
        } else if (!prefilled && admission.mustReject(request, engine.get())) {
            giveFinalAnswer(request);
        } else {
            Stage first = engine.get().role == RoutingSettings.Role.PREFILL ? Stage.PREFILL : Stage.PREFILL_AND_DECODE;
            forward(request, engine.get(), prefilled ? Stage.DECODE : first);
        }
    }

    private void forward(RequestState request, EngineState engine, Stage stage) {
        waiting.remove(request);
        AttemptState attempt = new AttemptState(request, request.attemptCount++, engine, stage, context.now);
        context.load.attemptStarted(attempt);
        request.cacheMayBeHeld |= stage.prefills();
        double timeout = retries.timeout(attempt, outliers.isOutlier(engine));
        outliers.postponeProbe(engine);
        request.inFlight.put(attempt.number, attempt);
        engine.unanswered.add(attempt);
        engine.slowStartBudget -= 1;
        context.fleet.invalidate();
        actions.add(new RoutingAction.Forward(request.id(), engine.id, timeout));
    }

    private void firstTokenReceived(AttemptState attempt, RoutingEvent.FirstTokenReceived event) {
        attempt.firstTokenAt = context.now;
        attempt.request.cacheEngine = null;
        attempt.request.cacheMayBeHeld = false;
        attempt.engine.unanswered.remove(attempt);
        attempt.endPrefill();
        outliers.recordSuccess(attempt, event.elapsed());
    }

    private void attemptEnded(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        request.inFlight.remove(attempt.number);
        engine.unanswered.remove(attempt);
        engine.receiveReport(event.report(), context.now);
        context.latency.recordAttemptEnd(engine.role);
        context.load.attemptEnded(attempt, event);
        context.streamDurations.record(attempt, event.status());
        outliers.recordOutcome(attempt, event);
        if (attempt.stage.decodes() && !event.status().hadNoEffect() && request.possibleRun.isEmpty()) {
            request.possibleRun = Optional.of(new PossibleRun(engine, attempt.sentAt));
        }
        if (event.closed() || request.ended) {
            request.cacheMayBeHeld = event.status() != RoutingEvent.Status.OK;
            end(request);
        } else {
            continueRequest(attempt, event);
        }
    }

    /** Takes the next step of a request whose attempt has ended before its final answer. */
    private void continueRequest(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        boolean cacheWaitExceeded = retries.cacheWaitExceeded(attempt, event);
        boolean cacheLost = event.status() == RoutingEvent.Status.FULL && event.note() == 1;
        if (event.status() == RoutingEvent.Status.PREFILLED) {
            request.cacheEngine = attempt.engine;
            request.attemptedEngines.clear();
            request.attemptedEngines.addAll(request.unconfirmedEngines);
        } else if (attempt.stage == Stage.DECODE && (cacheLost || cacheWaitExceeded || attempt.releasedWhileInFlight)) {
            // The KV cache has to be released in time. It is still held if the decode engine could not be reached, or
            // if an attempt had arrived and protected it from the earlier release.
            request.cacheMayBeHeld |= attempt.releasedWhileInFlight && !cacheLost;
            release(request);
        } else if (event.status() == RoutingEvent.Status.NOT_SENT) {
            giveFinalAnswer(request);
            return;
        } else {
            request.attemptedEngines.add(attempt.engine);
            if (event.status() == RoutingEvent.Status.TIMEOUT) {
                retries.spendBudget();
            }
        }
        route(request);
    }

    /** Gives the final answer: a reject if a retry by the client is harmless, else a fail. */
    private void giveFinalAnswer(RequestState request) {
        double retryAfter = admission.retryAfter();
        boolean harmless = retries.isClientRetryHarmless(request);
        actions.add(
                harmless ? new RoutingAction.Reject(request.id(), retryAfter) : new RoutingAction.Fail(request.id()));
        end(request);
    }

    /**
     * Releases the KV cache that an engine may hold for a request. A prefill engine whose answer was lost, for example
     * by a cut link or a reset, may hold one too.
     */
    private void release(RequestState request) {
        if (request.cacheMayBeHeld) {
            request.cacheMayBeHeld = false;
            request.cacheEngine = null;
            actions.add(new RoutingAction.ReleaseCache(request.id()));
        }
    }

    /**
     * Releases the KV cache of a request whose attempt was not confirmed in time. If the attempt has not arrived, the
     * KV cache would otherwise stay held for too long. If the attempt has arrived, it keeps the KV cache that it uses
     * despite the release.
     */
    private void confirmationOverdue(AttemptState attempt) {
        if (attempt.hasFirstToken() || attempt.request.ended) {
            return;
        }
        release(attempt.request);
        attempt.request.unconfirmedEngines.add(attempt.engine);
        attempt.releasedWhileInFlight = attempt.stage == Stage.DECODE;
        attempt.request.cacheMayBeHeld = attempt.stage.prefills(); // the release frees only that of an earlier prefill
    }

    /**
     * Ends a request and releases the KV cache that may be held for it, whatever the reason for the end. While an
     * attempt is in flight, the release waits for its outcome. An outcome OK needs no release.
     */
    private void end(RequestState request) {
        request.ended = true;
        waiting.remove(request);
        if (request.inFlight.isEmpty()) {
            release(request);
            requests.remove(request.id());
        }
    }
}

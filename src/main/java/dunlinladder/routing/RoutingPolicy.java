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
 * All decisions of one gateway: takes events to the life cycle of requests. What is chosen, and why, stands in the
 * types beside it (source of the scheme: DistServe); {@code docs/design.md} says when each exception acts. One thread
 * at a time.
 */
public final class RoutingPolicy implements Router {
    private static final long SWEEP_TIMER = 0;
    private static final long WATCH_TIMER = 1;

    final PolicyContext context;
    private final EndpointTable endpoints;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private final AdmissionControl admission;
    private final EngineCost cost;
    private final StartSelector startEngines;
    private final DecodeSelector decodeEngines;
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final Set<RequestState> waiting = new LinkedHashSet<>();
    private List<RoutingAction> actions = new ArrayList<>();
    private boolean sweepTimerSet;
    private int failedDiscoveryCalls;

    /** Creates the decisions of one gateway; {@code seed} feeds its random numbers. */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        context = new PolicyContext(settings, seed);
        endpoints = new EndpointTable(context);
        retries = new RetryPolicy(context);
        outliers = new OutlierDetector(context, retries);
        admission = new AdmissionControl(context, outliers);
        cost = new EngineCost(context);
        EngineRanking ranking = new EngineRanking(context);
        startEngines = new StartSelector(
                context,
                retries,
                outliers,
                admission,
                new PrefillSelector(context, outliers, cost, ranking),
                new MixedEngineSelector(context, outliers, cost, ranking));
        decodeEngines = new DecodeSelector(context, outliers, cost, ranking);
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
            attempt(overdue.id(), overdue.attempt()).ifPresent(this::releaseBehind);
        } else if (event instanceof RoutingEvent.AttemptEnded ended) {
            attempt(ended.id(), ended.attempt()).ifPresent(attempt -> attemptEnded(attempt, ended));
        } else if (event instanceof RoutingEvent.ClientDisconnected disconnected) {
            Optional.ofNullable(requests.get(disconnected.id())).ifPresent(this::end);
        } else if (event instanceof RoutingEvent.TimerFired timer) {
            timerFired(timer.token());
        }
        if (!waiting.isEmpty() && !sweepTimerSet) {
            sweepTimerSet = true;
            actions.add(new RoutingAction.SetTimer(SWEEP_TIMER, RetryPolicy.SWEEP_SECONDS));
        }
        return actions;
    }

    private Optional<AttemptState> attempt(String id, int number) {
        return Optional.ofNullable(requests.get(id)).map(request -> request.inFlight.get(number));
    }

    private void endpointsChanged(RoutingEvent.EndpointsChanged event) {
        if (event.scope() == RoutingEvent.Scope.FAILED) {
            double delay = OutlierDetector.backoffSeconds(++failedDiscoveryCalls);
            actions.add(new RoutingAction.SetTimer(WATCH_TIMER, delay));
            return;
        }
        if (event.scope() == RoutingEvent.Scope.CACHED && context.settings.listOnRequest()) {
            actions.add(new RoutingAction.WatchEndpoints());
        } else {
            failedDiscoveryCalls = 0;
        }
        endpoints.apply(event);
        List.copyOf(waiting).forEach(this::route);
    }

    private void timerFired(long token) {
        if (token != SWEEP_TIMER) {
            actions.add(new RoutingAction.WatchEndpoints());
            return;
        }
        sweepTimerSet = false;
        for (RequestState request : List.copyOf(waiting)) {
            if (retries.waitedTooLong(request)) {
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
        retries.earn();
        admission.requestArrived(request);
        route(request);
    }

    /** Takes a request's next step: a decode engine for KV cache that waits, else a start; else it waits. */
    private void route(RequestState request) {
        if (request.ended || !request.inFlight.isEmpty()) {
            return;
        }
        if (retries.isExhausted(request)) {
            finish(request);
            return;
        }
        context.fleet.refresh(cost::decodeLoad);
        boolean prefilled = request.cacheEngine != null;
        Optional<EngineState> engine = prefilled ? decodeEngines.select(request) : startEngines.select(request);
        if (engine.isEmpty()) {
            waiting.add(request);
        } else if (!prefilled && admission.mustReject(request, engine.get())) {
            finish(request);
        } else {
            Stage start = engine.get().role == RoutingSettings.Role.PREFILL ? Stage.PREFILL : Stage.PREFILL_AND_DECODE;
            forward(request, engine.get(), prefilled ? Stage.DECODE : start);
        }
    }

    private void forward(RequestState request, EngineState engine, Stage stage) {
        waiting.remove(request);
        AttemptState attempt = new AttemptState(request, request.attemptCount++, engine, stage, context.now);
        context.load.attemptStarted(attempt);
        request.cacheMayRemain |= stage.prefills();
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
        attempt.request.cacheMayRemain = false;
        attempt.engine.unanswered.remove(attempt);
        attempt.endPrefill();
        outliers.succeeded(attempt, event.elapsed());
    }

    private void attemptEnded(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        request.inFlight.remove(attempt.number);
        engine.unanswered.remove(attempt);
        engine.receiveReport(event.report(), context.now);
        context.latency.heardOf(engine.role);
        context.load.attemptEnded(attempt, event);
        context.streamDurations.record(attempt, event.status());
        outliers.judge(attempt, event);
        if (attempt.stage.decodes() && !event.status().neverRan() && request.possibleRun.isEmpty()) {
            request.possibleRun = Optional.of(new PossibleRun(engine, attempt.sentAt));
        }
        if (event.closed() || request.ended) {
            request.cacheMayRemain = event.status() != RoutingEvent.Status.OK;
            end(request);
        } else {
            goOn(attempt, event);
        }
    }

    /** The next step of a request that is still owed its answer. */
    private void goOn(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        boolean late = retries.cacheWaitExceeded(attempt, event);
        boolean cacheIsLost = event.status() == RoutingEvent.Status.FULL && event.note() == 1;
        if (event.status() == RoutingEvent.Status.PREFILLED) {
            request.cacheEngine = attempt.engine;
            request.attemptedEngines.clear();
            request.attemptedEngines.addAll(request.unconfirmedEngines);
        } else if (attempt.stage == Stage.DECODE && (cacheIsLost || late || attempt.releasedBehind)) {
            // Rule 5: what cannot be reached stays held; an attempt that had arrived has kept it from a release.
            request.cacheMayRemain |= attempt.releasedBehind && !cacheIsLost;
            release(request);
        } else if (event.status() == RoutingEvent.Status.NOT_SENT) {
            finish(request);
            return;
        } else {
            request.attemptedEngines.add(attempt.engine);
            if (event.status() == RoutingEvent.Status.TIMEOUT) {
                retries.spend();
            }
        }
        route(request);
    }

    /** Gives the final answer: a rejection where it may promise that a retry is harmless, else a failure. */
    private void finish(RequestState request) {
        double retryAfter = admission.retryAfter();
        boolean harmless = retries.isClientRetryHarmless(request);
        actions.add(
                harmless ? new RoutingAction.Reject(request.id(), retryAfter) : new RoutingAction.Fail(request.id()));
        end(request);
    }

    /** A prefill engine whose answer was lost (a link cut, a reset) may hold KV cache all the same. */
    private void release(RequestState request) {
        if (request.cacheMayRemain) {
            request.cacheMayRemain = false;
            request.cacheEngine = null;
            actions.add(new RoutingAction.ReleaseCache(request.id()));
        }
    }

    /** Rule 5: an attempt that has not arrived leaves a KV cache held; one that has keeps its own all the same. */
    private void releaseBehind(AttemptState attempt) {
        if (attempt.hasFirstToken() || attempt.request.ended) {
            return;
        }
        release(attempt.request);
        attempt.request.unconfirmedEngines.add(attempt.engine);
        attempt.releasedBehind = attempt.stage == Stage.DECODE;
        attempt.request.cacheMayRemain = attempt.stage.prefills(); // what the release frees is of an earlier prefill
    }

    /** Rule 5: whatever ends a request, nothing stays held for it; late outcomes release once more. */
    private void end(RequestState request) {
        request.ended = true;
        waiting.remove(request);
        if (request.inFlight.isEmpty()) {
            release(request);
            requests.remove(request.id());
        }
    }
}

package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Outcome.Ending;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The facts of the attempts determine whether a request may be sent again or rejected, whatever the routing policy
 * decides.
 */
class DispatcherTest {

    private static final int IDEMPOTENT = 0;
    private static final int NON_IDEMPOTENT = 1;
    private static final int KEYED_BY_CELL = 2;
    private static final int KEYED_EVERYWHERE = 3;
    /** The rules of the classes above, by their number. */
    private static final List<RerunRule> RERUN_RULES = List.of(
            RerunRule.UNRESTRICTED,
            RerunRule.FORBIDDEN,
            new RerunRule(RerunRule.Scope.CELL, 60),
            new RerunRule(RerunRule.Scope.ALL, 60));

    private static final int PREFILL_KIND = 0;
    private static final int DECODE_KIND = 1;
    private static final int MIXED_KIND = 2;
    private static final ServiceRules RULES = new ServiceRules() {
        @Override
        public RerunRule rerunRule(int serviceClass) {
            return RERUN_RULES.get(serviceClass);
        }

        @Override
        public boolean isPrefillOnly(int kind) {
            return kind == PREFILL_KIND;
        }
    };

    private final EngineRegistry engines = new EngineRegistry();
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters();
    private final Instruments instruments = new Instruments(clock, counters, new CacheHoldLedger(0.5, counters));
    private final Queue<RoutingDecision> decisions = new ArrayDeque<>();
    private final Queue<Ending> endings = new ArrayDeque<>();
    private final List<String> sent = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Outcome.Ending> reportedEndings = new ArrayList<>();
    /** Runs while an attempt is in flight. */
    private Runnable whileInFlight = () -> {};
    /** Runs while the router decides. */
    private Runnable whileDeciding = () -> {};
    /** Whether the client has closed its connection and the close has not been reported. */
    private boolean unreportedClose;

    /** The ends of the streams, for a test in which streams begin; otherwise empty. */
    private Optional<List<Runnable>> streamEnds = Optional.empty();

    private Dispatcher dispatcher;

    private final RequestRouter router = new RequestRouter() {
        @Override
        public RoutingDecision nextDecision(Request request) {
            whileDeciding.run();
            return decisions.remove();
        }

        @Override
        public void firstToken(Attempt attempt) {
            // Not used in these tests.
        }

        @Override
        public void confirmationOverdue(Attempt attempt) {
            // Not used in these tests.
        }

        @Override
        public void attemptEnded(Attempt attempt, Outcome outcome, AttemptReach reach, boolean last) {
            reportedEndings.add(outcome.ending());
        }

        @Override
        public void clientDisconnected(String id) {
            answers.add("disconnected");
        }

        @Override
        public void endpointsUpdated(Scope scope, List<Engine> listed) {
            // Not used in these tests.
        }
    };

    private final EngineTransport transport = new EngineTransport() {
        @Override
        public Call send(Attempt attempt, ResponseSink client, AttemptListener listener) {
            sent.add(attempt.engine().id());
            whileInFlight.run();
            return new Call() {
                @Override
                public Optional<Outcome> awaitEndOrStream() {
                    return streamEnds.isPresent() ? Optional.empty() : Optional.of(Outcome.of(endings.remove()));
                }

                @Override
                public void onEnd(Consumer<Outcome> task) {
                    streamEnds.orElseThrow().add(() -> task.accept(Outcome.of(endings.remove())));
                }

                @Override
                public void cancelAttempt() {
                    // Not used in these tests.
                }

                @Override
                public boolean cancelUnlessStreaming() {
                    return true;
                }
            };
        }

        @Override
        public void release(String id) {
            // Not used in these tests.
        }
    };

    private final ResponseSink client = new ResponseSink() {
        @Override
        public void writeEvents(ByteBuffer events, IntConsumer onWritten) {
            answers.add("data");
        }

        @Override
        public void complete() {
            answers.add("complete");
        }

        @Override
        public void abortStream() {
            answers.add("abort");
        }

        @Override
        public void reject(double retryAfter) {
            answers.add("reject");
        }

        @Override
        public void fail(Failure reason) {
            answers.add("fail");
        }

        @Override
        public boolean hasDisconnected() {
            if (unreportedClose) {
                dispatcher.clientDisconnected("id");
            }
            return unreportedClose;
        }
    };

    /** Creates an engine whose role follows from its id: 'r...' prefills, 'w...' decodes, any other is mixed. */
    private static Engine engine(String id, Engine.State state) {
        int kind = switch (id.charAt(0)) {
            case 'r' -> PREFILL_KIND;
            case 'w' -> DECODE_KIND;
            default -> MIXED_KIND;
        };
        return EngineBuilder.engine(id).kind(kind).state(state).build();
    }

    private void updateEngines(Engine.State state, String... ids) {
        engines.apply(
                RequestRouter.Scope.CHANGES,
                Arrays.stream(ids).map(id -> engine(id, state)).toList());
    }

    private void submit(int serviceClass) {
        Dispatcher.Settings settings = new Dispatcher.Settings(10, 0.04);
        dispatcher = new Dispatcher(
                router, new SendGuard(engines, RULES, instruments, 0), transport, Runnable::run, instruments, settings);
        assertTrue(dispatcher.submit(request(serviceClass), client));
    }

    private Request request(int serviceClass) {
        return RequestBuilder.request("id")
                .serviceClass(serviceClass)
                .deadline(clock.now() + 5)
                .build();
    }

    /** The error occurs when the system refuses a further thread, or on the thread that drives the request. */
    @ParameterizedTest
    @CsvSource({"true, reject", "false, fail"})
    void answersARequestDespiteAnOutOfMemoryError(boolean onSubmit, String answer) {
        whileDeciding = () -> {
            throw new OutOfMemoryError("thrown by the test");
        };
        Executor executor = onSubmit ? task -> whileDeciding.run() : Runnable::run;
        dispatcher = new Dispatcher(
                router,
                new SendGuard(engines, RULES, instruments, 0),
                transport,
                executor,
                instruments,
                new Dispatcher.Settings(10, 0.04));
        Request request = RequestBuilder.request("id").deadline(clock.now() + 5).build();
        assertTrue(dispatcher.submit(request, client));
        assertEquals(0, dispatcher.activeRequests());
        assertTrue(answers.contains(answer), answers.toString());
    }

    /** The policy rejects after these attempts; the client's answer depends on whether the request may have run. */
    @ParameterizedTest
    @CsvSource({
        "1, r1 TIMEOUT, reject",
        "1, r1 RESET, reject",
        "1, r1 PREFILLED w1 TIMEOUT, fail",
        "1, r1 PREFILLED w1 RESET, fail",
        "1, r1 PREFILLED w1 ERROR, fail",
        "1, r1 PREFILLED w1 CANCELLED, fail",
        "1, r1 PREFILLED w1 FULL, reject",
        "1, r1 PREFILLED w1 CONNECT_FAILED, reject",
        "1, m1 TIMEOUT, fail",
        "1, m1 RESET r1 PREFILLED, fail",
        "1, m1 FULL r1 TIMEOUT, reject",
        "2, r1 PREFILLED w1 TIMEOUT, fail",
        "2, m1 CANCELLED, fail",
        "2, m1 FULL r1 TIMEOUT, reject",
        "3, m1 TIMEOUT, reject",
        "0, m1 TIMEOUT, reject",
        "0, r1 PREFILLED w1 RESET, reject"
    })
    void rejectsOnlyWhenTheFactsOfAllAttemptsAllowARetry(int serviceClass, String attempts, String answer) {
        updateEngines(Engine.State.ACTIVE, "r1", "w1", "m1");
        String[] words = attempts.split(" ");
        for (int i = 0; i < words.length; i += 2) {
            decisions.add(new RoutingDecision.Forward(words[i], 0));
            endings.add(Ending.valueOf(words[i + 1]));
        }
        decisions.add(new RoutingDecision.Reject(0));
        submit(serviceClass);
        assertEquals(List.of(answer), answers);
    }

    /**
     * Guards against a refusal at shutdown, which promises that a retry is harmless, of a request that a hanging engine
     * may run and that may run again only in that engine's cell.
     */
    @ParameterizedTest
    @CsvSource({
        IDEMPOTENT + ", reject",
        NON_IDEMPOTENT + ", fail",
        KEYED_BY_CELL + ", fail",
        KEYED_EVERYWHERE + ", reject"
    })
    void rejectsAnExpiredRequestOnlyWhenEveryEngineMayRunItAgain(int serviceClass, String answer) {
        updateEngines(Engine.State.ACTIVE, "m1");
        decisions.addAll(List.of(new RoutingDecision.Forward("m1", 0), new RoutingDecision.Discard()));
        endings.add(Ending.CANCELLED);
        whileInFlight = () -> dispatcher.expireRequests();
        submit(serviceClass);
        assertEquals(List.of("disconnected", answer), answers);
    }

    /** Guards against a rerun at an engine that does not know the key of the request. */
    @Test
    void resendsAKeyedRequestOnlyWithinItsCell() {
        engines.apply(
                RequestRouter.Scope.CHANGES,
                List.of(
                        EngineBuilder.engine("m1").kind(MIXED_KIND).cell(1).build(),
                        EngineBuilder.engine("m2").kind(MIXED_KIND).cell(2).build(),
                        EngineBuilder.engine("m3").kind(MIXED_KIND).cell(1).build()));
        decisions.addAll(List.of(
                new RoutingDecision.Forward("m1", 0),
                new RoutingDecision.Forward("m2", 0),
                new RoutingDecision.Forward("m3", 0)));
        endings.addAll(List.of(Ending.RESET, Ending.OK));
        submit(KEYED_BY_CELL);
        assertEquals(List.of("m1", "m3"), sent);
        assertEquals(List.of(Ending.RESET, Ending.CONNECT_FAILED, Ending.OK), reportedEndings);
        assertEquals(List.of("complete"), answers);
    }

    /**
     * While a non-idempotent request is in flight at an engine, the engine leaves the list or is listed as a prefill
     * engine.
     */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT, LEFT, fail",
        "RESET, LEFT, fail",
        "FULL, LEFT, reject",
        "CONNECT_FAILED, LEFT, reject",
        "TIMEOUT, LEAVING, fail",
        "TIMEOUT, ACTIVE, fail"
    })
    void factsOfAnAttemptRemainWhenTheEngineListChangesLater(Ending ending, Engine.State state, String answer) {
        updateEngines(Engine.State.ACTIVE, "m1");
        decisions.addAll(List.of(new RoutingDecision.Forward("m1", 0), new RoutingDecision.Reject(0)));
        endings.add(ending);
        whileInFlight = () -> engines.apply(
                RequestRouter.Scope.CHANGES,
                List.of(EngineBuilder.engine("m1")
                        .kind(PREFILL_KIND)
                        .state(state)
                        .build()));
        submit(NON_IDEMPOTENT);
        assertEquals(List.of(answer), answers);
    }

    @Test
    void doesNotResendANonIdempotentRequestThatMayHaveRun() {
        updateEngines(Engine.State.ACTIVE, "m1", "w1", "r1");
        decisions.addAll(List.of(
                new RoutingDecision.Forward("m1", 0),
                new RoutingDecision.Forward("w1", 0),
                new RoutingDecision.Reject(0)));
        endings.add(Ending.RESET);
        submit(NON_IDEMPOTENT);
        assertEquals(List.of("m1"), sent);
        assertEquals(List.of(Ending.RESET, Ending.CONNECT_FAILED), reportedEndings);
        assertEquals(List.of("fail"), answers);
    }

    /**
     * The client disconnects between the decision and the send of the first, second or third attempt. Guards against an
     * attempt for a client whose close has arrived and has not been read by the connection's I/O thread, too.
     */
    @ParameterizedTest
    @CsvSource({"0, '', true", "1, r1, true", "2, r1 w1, true", "0, '', false", "1, r1, false", "2, r1 w1, false"})
    void sendsNothingAfterTheClientHasDisconnected(int sentBefore, String attempts, boolean reported) {
        updateEngines(Engine.State.ACTIVE, "r1", "w1", "m1");
        decisions.addAll(List.of(
                new RoutingDecision.Forward("r1", 0),
                new RoutingDecision.Forward("w1", 0),
                new RoutingDecision.Forward("m1", 0)));
        endings.addAll(List.of(Ending.PREFILLED, Ending.FULL, Ending.OK));
        whileDeciding = () -> {
            if (sent.size() == sentBefore && reported) {
                dispatcher.clientDisconnected("id");
            } else if (sent.size() == sentBefore) {
                unreportedClose = true;
            }
        };
        submit(IDEMPOTENT);
        assertEquals(attempts, String.join(" ", sent));
        assertEquals(List.of("disconnected"), answers);
        assertEquals(Ending.CONNECT_FAILED, reportedEndings.get(sentBefore), "the attempt must not be sent");
        assertEquals(0, dispatcher.activeRequests());
    }

    /** Guards against a second run of a request that comes once more after its client has left (report 906079, d). */
    @ParameterizedTest
    @CsvSource({
        NON_IDEMPOTENT + ", CANCELLED, false",
        NON_IDEMPOTENT + ", OK, false",
        NON_IDEMPOTENT + ", FULL, true",
        NON_IDEMPOTENT + ", CONNECT_FAILED, true",
        KEYED_BY_CELL + ", CANCELLED, false",
        KEYED_EVERYWHERE + ", CANCELLED, false",
        IDEMPOTENT + ", CANCELLED, true"
    })
    void acceptsAnIdAgainOnlyIfTheRequestDidNotRunOrMayRunAgain(int serviceClass, Ending ending, boolean accepted) {
        updateEngines(Engine.State.ACTIVE, "m1");
        decisions.addAll(List.of(
                new RoutingDecision.Forward("m1", 0), new RoutingDecision.Discard(), new RoutingDecision.Discard()));
        endings.add(ending);
        submit(serviceClass);
        assertEquals(accepted, dispatcher.submit(request(serviceClass), client));
        assertEquals(List.of("m1"), sent);
        assertEquals(0, dispatcher.activeRequests());
        assertEquals(accepted ? 0 : 1, counters.count(Counter.REQUESTS_REPEATED));
    }

    @Test
    void failsWithoutRetryWhenAnEngineRejectsTheRequest() {
        updateEngines(Engine.State.ACTIVE, "m1");
        decisions.add(new RoutingDecision.Forward("m1", 0));
        endings.add(Ending.REJECTED);
        submit(IDEMPOTENT);
        assertEquals(List.of("fail"), answers);
        assertEquals(List.of("m1"), sent);
    }

    @Test
    void resendsAnIdempotentRequest() {
        updateEngines(Engine.State.ACTIVE, "m1", "w1");
        decisions.addAll(List.of(new RoutingDecision.Forward("m1", 0), new RoutingDecision.Forward("w1", 0)));
        endings.addAll(List.of(Ending.RESET, Ending.OK));
        submit(IDEMPOTENT);
        assertEquals(List.of("m1", "w1"), sent);
        assertEquals(List.of("complete"), answers);
    }

    /** Guards against threads that wait for the ends of streams whose clients read slowly (report 906079, b). */
    @ParameterizedTest
    @CsvSource({"OK, complete", "RESET, abort", "CANCELLED, abort"})
    void concludesARequestWhenItsStreamEndsWithoutItsThread(Ending ending, String answer) {
        List<Runnable> ends = new ArrayList<>();
        streamEnds = Optional.of(ends);
        updateEngines(Engine.State.ACTIVE, "m1");
        decisions.add(new RoutingDecision.Forward("m1", 0));
        endings.add(ending);
        submit(NON_IDEMPOTENT);
        assertEquals(List.of(), answers);
        assertEquals(1, dispatcher.activeRequests());
        ends.forEach(Runnable::run);
        assertEquals(List.of(answer), answers);
        assertEquals(List.of(ending), reportedEndings);
        assertEquals(0, dispatcher.activeRequests());
        assertFalse(dispatcher.submit(request(NON_IDEMPOTENT), client), "it may have run");
    }
}

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
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rule on repeated effects is kept by the facts of the attempts, whatever the decisions ask for. */
class DispatcherTest {

    private static final int LOOKUP = 0;
    private static final int LISTING = 1;
    private static final Dispatcher.Policy POLICY = new Dispatcher.Policy() {
        @Override
        public boolean once(int serviceClass) {
            return serviceClass == LISTING;
        }

        @Override
        public boolean readsOnly(int kind) {
            return kind == 0;
        }
    };

    private final EngineRegistry engines = new EngineRegistry();
    private final Clock clock = new Clock();
    private final Queue<RoutingDecision> steps = new ArrayDeque<>();
    private final Queue<Ending> endings = new ArrayDeque<>();
    private final List<String> sent = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Outcome.Ending> reported = new ArrayList<>();
    /** Runs while an attempt is out. */
    private Runnable meanwhile = () -> {};
    /** Runs while the decisions are asked. */
    private Runnable decided = () -> {};

    private Dispatcher dispatcher;

    private final RequestRouter decider = new RequestRouter() {
        @Override
        public RoutingDecision nextDecision(Request request) {
            decided.run();
            return steps.remove();
        }

        @Override
        public void firstToken(Attempt attempt) {
            // Not asked for here.
        }

        @Override
        public void attemptEnded(Attempt attempt, Outcome outcome, boolean last) {
            reported.add(outcome.ending());
        }

        @Override
        public void clientDisconnected(String id) {
            answers.add("gone");
        }

        @Override
        public void endpointsUpdated(Scope scope, List<Engine> news) {
            // Not asked for here.
        }
    };

    private final EngineTransport calls = new EngineTransport() {
        @Override
        public Call send(Attempt attempt, ResponseSink client, Runnable first) {
            sent.add(attempt.engine().id());
            meanwhile.run();
            return new Call() {
                @Override
                public Outcome await() {
                    return Outcome.of(endings.remove());
                }

                @Override
                public void abandon() {
                    // Not asked for here.
                }
            };
        }

        @Override
        public void release(String id) {
            // Not asked for here.
        }
    };

    private final ResponseSink client = new ResponseSink() {
        @Override
        public void writeEvents(ByteBuffer piece, IntConsumer taken) {
            answers.add("data");
        }

        @Override
        public void complete() {
            answers.add("end");
        }

        @Override
        public void abortStream() {
            answers.add("cut");
        }

        @Override
        public void reject(double retryAfter) {
            answers.add("refuse");
        }

        @Override
        public void fail(Failure why) {
            answers.add("fail");
        }
    };

    private static Engine engine(String id, Engine.State state) {
        return new Engine(id, "127.0.0.1:1", 0, id.charAt(0) == 'r' ? 0 : id.charAt(0) == 'w' ? 1 : 2, 0, state, 1, 0);
    }

    private void list(Engine.State state, String... ids) {
        engines.apply(
                RequestRouter.Scope.CHANGES,
                Arrays.stream(ids).map(id -> engine(id, state)).toList());
    }

    private void take(int serviceClass) {
        Limits limits = LimitsBuilder.limits().requests(10).build();
        dispatcher = new Dispatcher(decider, engines, calls, Runnable::run, clock, limits, POLICY);
        assertTrue(dispatcher.submit(
                new Request("id", serviceClass, 0, 1, 0, 10, 0, 10, clock.now() + 5, false, false, null), client));
    }

    /** The decisions ask to refuse after these attempts; what the client is told goes by what they prove. */
    @ParameterizedTest
    @CsvSource({
        "1, r1 TIMEOUT, refuse",
        "1, r1 RESET, refuse",
        "1, r1 PREFILLED w1 TIMEOUT, fail",
        "1, r1 PREFILLED w1 RESET, fail",
        "1, r1 PREFILLED w1 ERROR, fail",
        "1, r1 PREFILLED w1 CANCELLED, fail",
        "1, r1 PREFILLED w1 FULL, refuse",
        "1, r1 PREFILLED w1 CONNECT_FAILED, refuse",
        "1, m1 TIMEOUT, fail",
        "1, m1 RESET r1 PREFILLED, fail",
        "1, m1 FULL r1 TIMEOUT, refuse",
        "0, m1 TIMEOUT, refuse",
        "0, r1 PREFILLED w1 RESET, refuse"
    })
    void aRefusalIsBorneOutByTheFacts(int serviceClass, String attempts, String answer) {
        list(Engine.State.ACTIVE, "r1", "w1", "m1");
        String[] words = attempts.split(" ");
        for (int i = 0; i < words.length; i += 2) {
            steps.add(new RoutingDecision.Forward(words[i], 0));
            endings.add(Ending.valueOf(words[i + 1]));
        }
        steps.add(new RoutingDecision.Reject(0));
        take(serviceClass);
        assertEquals(List.of(answer), answers);
    }

    /** The engine leaves the list, or is listed as a reader, while a listing is out at it. */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT, LEFT, fail",
        "RESET, LEFT, fail",
        "FULL, LEFT, refuse",
        "CONNECT_FAILED, LEFT, refuse",
        "TIMEOUT, LEAVING, fail",
        "TIMEOUT, ACTIVE, fail"
    })
    void whatTheListSaysLaterChangesNothing(Ending ending, Engine.State state, String answer) {
        list(Engine.State.ACTIVE, "m1");
        steps.addAll(List.of(new RoutingDecision.Forward("m1", 0), new RoutingDecision.Reject(0)));
        endings.add(ending);
        meanwhile = () -> engines.apply(
                RequestRouter.Scope.CHANGES, List.of(new Engine("m1", "127.0.0.1:1", 0, 0, 0, state, 1, 0)));
        take(LISTING);
        assertEquals(List.of(answer), answers);
    }

    @Test
    void aListingThatMayHaveRunIsNotSentAgainEvenWhereTheDecisionsWantIt() {
        list(Engine.State.ACTIVE, "m1", "w1", "r1");
        steps.addAll(List.of(
                new RoutingDecision.Forward("m1", 0),
                new RoutingDecision.Forward("w1", 0),
                new RoutingDecision.Reject(0)));
        endings.add(Ending.RESET);
        take(LISTING);
        assertEquals(List.of("m1"), sent);
        assertEquals(List.of(Ending.RESET, Ending.CONNECT_FAILED), reported);
        assertEquals(List.of("fail"), answers);
    }

    /** The client leaves between the decision and the send, of the first attempt or of a further one. */
    @ParameterizedTest
    @CsvSource({"0, ''", "1, r1", "2, r1 w1"})
    void nothingIsSentForAClientThatHasGone(int after, String attempts) {
        list(Engine.State.ACTIVE, "r1", "w1", "m1");
        steps.addAll(List.of(
                new RoutingDecision.Forward("r1", 0),
                new RoutingDecision.Forward("w1", 0),
                new RoutingDecision.Forward("m1", 0)));
        endings.addAll(List.of(Ending.PREFILLED, Ending.FULL, Ending.OK));
        decided = () -> {
            if (sent.size() == after) {
                dispatcher.clientDisconnected("id");
            }
        };
        take(LOOKUP);
        assertEquals(attempts, String.join(" ", sent));
        assertEquals(List.of("gone"), answers);
        assertEquals(Ending.CONNECT_FAILED, reported.get(after), "it never went out");
        assertEquals(0, dispatcher.activeRequests());
    }

    @Test
    void whatAnEngineRejectsIsFinal() {
        list(Engine.State.ACTIVE, "m1");
        steps.add(new RoutingDecision.Forward("m1", 0));
        endings.add(Ending.REJECTED);
        take(LOOKUP);
        assertEquals(List.of("fail"), answers);
        assertEquals(List.of("m1"), sent);
    }

    @Test
    void aLookupMayBeSentAgain() {
        list(Engine.State.ACTIVE, "m1", "w1");
        steps.addAll(List.of(new RoutingDecision.Forward("m1", 0), new RoutingDecision.Forward("w1", 0)));
        endings.addAll(List.of(Ending.RESET, Ending.OK));
        take(LOOKUP);
        assertEquals(List.of("m1", "w1"), sent);
        assertEquals(List.of("end"), answers);
    }

    @Test
    void theGateShutsAtOnceAndWaitsForNewsThatIsNotRead() {
        list(Engine.State.ACTIVE, "m1");
        Engine decided = engines.find("m1");
        SendGuard gate = new SendGuard(engines, clock, 60);
        assertTrue(gate.allows(decided));
        // News is there and unread: the second look finds it read, and the engine drains in it.
        AtomicBoolean unread = new AtomicBoolean(true);
        gate.setUnreadUpdateCheck(() -> {
            boolean was = unread.getAndSet(false);
            if (!was) {
                list(Engine.State.LEAVING, "m1");
            }
            return was;
        });
        assertFalse(gate.allows(decided));
        // News that never gets read does not hold a send for good.
        SendGuard hurried = new SendGuard(engines, clock, 0.001);
        hurried.setUnreadUpdateCheck(() -> true);
        list(Engine.State.ACTIVE, "m1");
        assertTrue(hurried.allows(decided));
        // An engine that is listed elsewhere now is another process.
        engines.apply(
                RequestRouter.Scope.CHANGES,
                List.of(new Engine("m1", "127.0.0.1:2", 0, 2, 0, Engine.State.ACTIVE, 1, 0)));
        assertFalse(hurried.allows(decided));
    }
}

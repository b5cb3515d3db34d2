package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The state machine that follows the list, step by step and against a discovery that does anything. */
class WatchStateMachineTest {

    private static final WatchTimeouts TIMING = new WatchTimeouts(
            new WatchTimeouts.Connect(0.3, 2, 3),
            new WatchTimeouts.Answer(1, 3),
            new WatchTimeouts.Silence(2.5, 0.5),
            new Backoff(0.2, 4),
            10,
            false);

    private final List<WatchCommand> done = new ArrayList<>();
    private WatchStateMachine state = WatchStateMachine.initial(TIMING, 41, 7);
    private double now;

    private void on(WatchEvent event) {
        WatchOutcome next = state.on(event, now);
        state = next.state();
        done.addAll(next.commands());
    }

    /** Lets time pass, waking when the state asks to. */
    private void pass(double seconds) {
        double end = now + seconds;
        while (state.nextDeadline() < end) {
            now = Math.max(now + 0.01, state.nextDeadline());
            on(new WatchEvent.Tick());
        }
        now = end;
        on(new WatchEvent.Tick());
    }

    private List<WatchCommand> taken() {
        return done.stream().filter(c -> c instanceof WatchCommand.Apply).toList();
    }

    private static EndpointUpdate changes(long version, String... engines) {
        return news(version, RequestRouter.Scope.CHANGES, engines);
    }

    private static EndpointUpdate whole(long version, String... engines) {
        return news(version, RequestRouter.Scope.COMPLETE, engines);
    }

    private static EndpointUpdate news(long version, RequestRouter.Scope scope, String... engines) {
        return new EndpointUpdate(
                version,
                scope,
                List.of(engines).stream()
                        .map(e -> new Engine(e.split("=")[0], "", 0, 0, 0, Engine.State.valueOf(e.split("=")[1]), 1, 0))
                        .toList());
    }

    private void assertDone(WatchCommand... expected) {
        assertEquals(List.of(expected), done);
        done.clear();
    }

    @Test
    void newsInTheMidstOfAMoveComesByTheOldLink() {
        on(new WatchEvent.AddressChanged("a:1"));
        assertDone(new WatchCommand.Open(0, "a:1", 41));
        on(new WatchEvent.AnswerReceived(0));
        on(new WatchEvent.Heartbeat(0));
        on(new WatchEvent.AddressChanged("b:1"));
        assertDone(new WatchCommand.Open(1, "b:1", 41));
        EndpointUpdate drain = changes(42, "x=LEAVING");
        on(new WatchEvent.UpdateReceived(0, drain));
        assertDone(new WatchCommand.Apply(drain, 41));
        // The new link asked before that news: it tells it again, and then is the only one.
        on(new WatchEvent.AnswerReceived(1));
        on(new WatchEvent.UpdateReceived(1, changes(42, "x=LEAVING")));
        assertDone(new WatchCommand.Close(0));
        on(new WatchEvent.UpdateReceived(0, changes(43, "x=ACTIVE")));
        assertDone();
    }

    @Test
    void aHungNewAddressIsRacedAndTheOldLinkStillHeard() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        on(new WatchEvent.AddressChanged("b:1"));
        done.clear();
        pass(0.35);
        assertDone(new WatchCommand.Open(2, "b:1", 41));
        pass(0.3);
        assertDone(new WatchCommand.Open(3, "b:1", 41));
        on(new WatchEvent.UpdateReceived(0, changes(42, "x=LEAVING")));
        assertEquals(1, taken().size());
        done.clear();
        on(new WatchEvent.AnswerReceived(2));
        assertDone(new WatchCommand.Close(1), new WatchCommand.Close(3));
        on(new WatchEvent.Heartbeat(2));
        assertDone(new WatchCommand.Close(0));
    }

    @Test
    void hangsThatFollowEachOtherNeverStopTheTrying() {
        on(new WatchEvent.AddressChanged("a:1"));
        for (int i = 0; i < 10; i++) {
            pass(6.1);
            assertTrue(done.stream().anyMatch(c -> c instanceof WatchCommand.Open), "in round " + i);
            assertTrue(state.connections().size() <= 3);
            done.clear();
        }
    }

    @Test
    void whatIsOlderThanWhatIsHeldIsLeftAside() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        on(new WatchEvent.UpdateReceived(0, changes(43, "x=LEAVING")));
        done.clear();
        on(new WatchEvent.UpdateReceived(0, whole(42, "x=ACTIVE")));
        on(new WatchEvent.UpdateReceived(0, changes(43, "x=ACTIVE")));
        assertDone();
        on(new WatchEvent.UpdateReceived(0, changes(44, "y=LEFT")));
        assertEquals(1, taken().size());
        assertEquals(44, state.version());
    }

    @Test
    void aDiscoveryThatCountsAnewIsAskedForAllAfterAWhile() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        done.clear();
        on(new WatchEvent.UpdateReceived(0, whole(3, "x=ACTIVE")));
        assertDone();
        for (int i = 0; i < 5; i++) {
            pass(2);
            on(new WatchEvent.Heartbeat(0));
        }
        pass(0.1);
        assertDone(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 0));
        on(new WatchEvent.AnswerReceived(1));
        EndpointUpdate all = whole(4, "x=ACTIVE");
        on(new WatchEvent.UpdateReceived(1, all));
        assertDone(new WatchCommand.Apply(all, 41));
        on(new WatchEvent.UpdateReceived(1, changes(5, "x=LEAVING")));
        assertEquals(5, state.version());
    }

    @Test
    void aBadLineAsksForAllAndTheNextGoodOneIsTaken() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        done.clear();
        on(new WatchEvent.UnreadableUpdate(0));
        assertDone(new WatchCommand.Close(0));
        pass(0.45);
        assertDone(new WatchCommand.Open(1, "a:1", 0));
        EndpointUpdate all = whole(41, "x=LEAVING");
        on(new WatchEvent.UpdateReceived(1, all));
        assertDone(new WatchCommand.Apply(all, 41));
        on(new WatchEvent.Closed(1));
        pass(0.25);
        assertDone(new WatchCommand.Open(2, "a:1", 41));
    }

    @Test
    void newsThatWasNotTakenInIsAskedForAgain() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        on(new WatchEvent.UpdateReceived(0, changes(42, "x=LEAVING")));
        assertEquals(42, state.version());
        done.clear();
        on(new WatchEvent.UpdateNotApplied(41));
        assertEquals(41, state.version());
        pass(0.45);
        assertDone(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 0));
    }

    @Test
    void aSilentLinkStaysUntilAnotherAnswers() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.AnswerReceived(0));
        done.clear();
        pass(2.4);
        assertDone();
        while (done.isEmpty() && now < 3) {
            pass(0.1);
        }
        assertDone(new WatchCommand.Open(1, "a:1", 41));
        on(new WatchEvent.UpdateReceived(0, changes(42, "x=LEAVING")));
        assertEquals(1, taken().size());
        done.clear();
        on(new WatchEvent.AnswerReceived(1));
        assertDone(new WatchCommand.Close(0));
    }

    /** What a silent watch misses counts as told 6 s later, also where the next call is lost too. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void aSilentWatchIsReplacedInTimeThoughACallIsLostToo(long seed) {
        state = WatchStateMachine.initial(TIMING, 41, seed);
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.Connected(0));
        on(new WatchEvent.AnswerReceived(0));
        on(new WatchEvent.Heartbeat(0));
        pass(3);
        on(new WatchEvent.Connected(1));
        pass(1);
        done.clear();
        on(new WatchEvent.Connected(2));
        on(new WatchEvent.AnswerReceived(2));
        on(new WatchEvent.UpdateReceived(2, changes(42, "x=LEAVING")));
        assertEquals(1, taken().size());
        assertEquals(1, state.connections().size());
        assertTrue(now <= 4);
    }

    /** A silent discovery answers what waits at its return: from the first call on there is always one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void anOutageFindsACallThatWaitsAtItsEnd(long seed) {
        state = WatchStateMachine.initial(TIMING, 41, seed);
        on(new WatchEvent.AddressChanged("a:1"));
        while (now < 60) {
            state.connections().stream()
                    .filter(link -> !link.isConnected())
                    .forEach(link -> on(new WatchEvent.Connected(link.id())));
            pass(0.05);
            assertFalse(state.connections().isEmpty(), "none at " + now);
        }
        // A call that was due to be replaced is as good as any other until then.
        while (!state.connections().get(0).isTimedOut()) {
            pass(0.01);
        }
        int waited = state.connections().get(0).id();
        done.clear();
        on(new WatchEvent.UpdateReceived(waited, changes(42, "x=LEAVING")));
        assertEquals(1, taken().size());
        pass(1);
        assertEquals(
                List.of(waited),
                state.connections().stream().map(WatchConnection::id).toList());
    }

    @Test
    void aRefusedAddressIsAskedAgainAfterAPauseOnly() {
        on(new WatchEvent.AddressChanged("a:1"));
        done.clear();
        on(new WatchEvent.Closed(0));
        assertDone();
        pass(0.45);
        assertDone(new WatchCommand.Open(1, "a:1", 41));
    }

    @Test
    void aCallThatWaitsItsTurnIsNotMadeTwice() {
        on(new WatchEvent.AddressChanged("a:1"));
        on(new WatchEvent.Connected(0));
        done.clear();
        pass(2.9);
        assertDone();
        pass(0.6);
        assertDone(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 41));
    }

    @Test
    void pausesGrowWithCallsThatAreNotAnsweredUpToABound() {
        on(new WatchEvent.AddressChanged("a:1"));
        for (int round = 0; round < 60; round++) {
            done.clear();
            state.connections().forEach(link -> on(new WatchEvent.Closed(link.id())));
            double pause = state.retryNotBefore() - now;
            assertTrue(pause <= Math.min(4, 0.4 * Math.pow(2, round)), "round " + round + ": " + pause);
            pass(pause + 0.01);
            assertEquals(1, done.size());
        }
        on(new WatchEvent.AnswerReceived(state.connections().get(0).id()));
        on(new WatchEvent.Heartbeat(state.connections().get(0).id()));
        on(new WatchEvent.Closed(state.connections().get(0).id()));
        assertTrue(state.retryNotBefore() - now <= 0.2);
    }

    /**
     * Fourteen gateways start at once before a discovery that can take up two calls a second and lets others wait for
     * two seconds at most. With calls raced and asked again in step none was ever answered.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void gatewaysThatStartTogetherAllGetTheListFromAnOverbookedDiscovery(long seed) {
        List<WatchStateMachine> fleet = new ArrayList<>();
        List<double[]> queue = new ArrayList<>();
        for (int g = 0; g < 14; g++) {
            fleet.add(WatchStateMachine.initial(TIMING, 41, seed * 1_000_003 + g * 7919));
            overbooked(fleet, queue, g, new WatchEvent.AddressChanged("a:1"), 0);
        }
        double free = 0;
        for (double at = 0; at < 20; at += 0.01) {
            for (int g = 0; g < fleet.size(); g++) {
                overbooked(fleet, queue, g, new WatchEvent.Tick(), at);
            }
            while (!queue.isEmpty() && free <= at) {
                double[] call = queue.remove(0);
                boolean late = at - call[2] > 2;
                free = late ? free : at + 0.5;
                overbooked(
                        fleet,
                        queue,
                        (int) call[0],
                        late ? new WatchEvent.Closed((int) call[1]) : new WatchEvent.AnswerReceived((int) call[1]),
                        at);
                overbooked(fleet, queue, (int) call[0], new WatchEvent.Heartbeat((int) call[1]), at);
            }
            for (int g = 0; g < fleet.size(); g++) {
                for (WatchConnection link : fleet.get(g).connections()) {
                    if (link.isAnswered()) {
                        overbooked(fleet, queue, g, new WatchEvent.Heartbeat(link.id()), at);
                    }
                }
            }
        }
        assertTrue(fleet.stream().allMatch(f -> f.connections().stream().anyMatch(WatchConnection::isAnswered)));
    }

    private static void overbooked(
            List<WatchStateMachine> fleet, List<double[]> queue, int g, WatchEvent event, double at) {
        WatchOutcome next = fleet.get(g).on(event, at);
        fleet.set(g, next.state());
        for (WatchCommand command : next.commands()) {
            if (command instanceof WatchCommand.Open open) {
                queue.add(new double[] {g, open.connection(), at});
                overbooked(fleet, queue, g, new WatchEvent.Connected(open.connection()), at);
            }
        }
    }

    /**
     * Discovery drops, hangs, refuses, moves, repeats and reorders links at random; its list only grows. What is taken
     * in never goes backwards, and once discovery behaves again the list is up to date.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void nothingIsLostWhateverTheLinksDo(long seed) {
        Random random = new Random(seed);
        TreeMap<Integer, Long> told = new TreeMap<>();
        long latest = 41;
        long held = 41;
        int addresses = 1;
        on(new WatchEvent.AddressChanged("a:0"));
        for (int i = 0; i < 3000; i++) {
            int drawn = random.nextInt(100);
            List<Integer> links =
                    state.connections().stream().map(WatchConnection::id).toList();
            int link = links.isEmpty() ? 99_999 : links.get(random.nextInt(links.size()));
            if (drawn < 25) {
                latest++;
            } else if (drawn < 55 && told.containsKey(link)) {
                long from = told.get(link) + 1;
                if (from == 1) {
                    told.put(link, latest);
                    on(new WatchEvent.UpdateReceived(link, whole(latest, "v" + latest + "=LEAVING")));
                } else if (from <= latest) {
                    long to = from + random.nextInt((int) Math.min(3, latest - from + 1));
                    told.put(link, to);
                    on(new WatchEvent.UpdateReceived(link, changes(to, "v" + to + "=LEAVING")));
                }
            } else if (drawn < 70) {
                on(new WatchEvent.AnswerReceived(link));
            } else if (drawn < 80) {
                on(new WatchEvent.Closed(link));
            } else if (drawn < 82) {
                on(new WatchEvent.AddressChanged("a:" + addresses++));
            } else if (drawn < 85) {
                on(new WatchEvent.UnreadableUpdate(link));
            } else {
                pass(random.nextDouble() * 3);
            }
            for (WatchCommand command : List.copyOf(done)) {
                if (command instanceof WatchCommand.Open open) {
                    told.put(open.connection(), open.since());
                } else if (command instanceof WatchCommand.Close close) {
                    told.remove(close.connection());
                } else if (command instanceof WatchCommand.Apply take) {
                    assertTrue(take.update().version() > held
                            || take.update().isSnapshot() && take.update().version() == held);
                    assertEquals(held, take.previousVersion());
                    held = take.update().version();
                }
            }
            done.clear();
            assertTrue(state.connections().stream().filter(state::isCurrent).count() <= 3);
        }
        // From here on whatever link is opened answers and tells all that it has.
        for (int i = 0; i < 100 && held < latest; i++) {
            pass(0.5);
            for (WatchConnection open : state.connections()) {
                on(new WatchEvent.AnswerReceived(open.id()));
                on(new WatchEvent.UpdateReceived(
                        open.id(), open.since() == 0 ? whole(latest, "all=LEAVING") : changes(latest, "all=LEAVING")));
            }
            held = state.version();
        }
        assertEquals(latest, held);
        // Where all was told already, the last thing that happened may have begun a pause.
        pass(TIMING.backoff().maxSeconds());
        assertFalse(state.connections().isEmpty());
    }
}

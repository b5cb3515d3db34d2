package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.RequestRouter;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;

/**
 * From the moment at which discovery has a change and can be reached, that change is taken in within the protocol's
 * bound, whatever became of the calls before: failed, refused, slow, silent, or a watch that fell silent, in any order.
 * Virtual time; docs/membership.md sums the bound.
 */
class ChangeInTimeTest {

    /** Of the six seconds one is left for what was read to reach the decisions. */
    private static final double ASKED_WITHIN = 5;
    /** Of the rule's time a quarter is left for the same. */
    private static final double PUSHED_SHARE = 0.75;

    private static final EndpointUpdate CHANGE = new EndpointUpdate(42, RequestRouter.Scope.CHANGES, List.of());

    private record Due(double at, long number, WatchEvent event) {}

    private Random random;
    private WatchStateMachine state;
    private double now;
    private long number;
    private PriorityQueue<Due> queue;
    private Set<Integer> live;
    private double changedAt;
    private boolean mayLoseOne;
    private double most;
    private double takenAt;

    private void in(double delay, WatchEvent event) {
        queue.add(new Due(now + delay, number++, event));
    }

    private void on(WatchEvent event) {
        WatchOutcome next = state.on(event, now);
        state = next.state();
        for (WatchCommand command : next.commands()) {
            if (command instanceof WatchCommand.Open open) {
                called(open.connection());
            } else if (command instanceof WatchCommand.Apply) {
                takenAt = now;
            }
        }
    }

    /** What becomes of a call: anything before discovery is well, an answer from then on. */
    private void called(int link) {
        boolean well = now >= changedAt;
        boolean lost = well && mayLoseOne && random.nextBoolean();
        mayLoseOne &= !lost;
        int fate = lost ? 1 + random.nextInt(2) : well ? 5 : random.nextInt(6);
        if (fate == 0) {
            in(0.001, new WatchEvent.Closed(link));
        } else if (fate == 1) {
            in(0.001, new WatchEvent.Connected(link));
        } else if (fate == 3) {
            in(0.001, new WatchEvent.Connected(link));
            in(random.nextDouble() * 3, new WatchEvent.Closed(link));
        } else if (fate > 3) {
            double delay = random.nextDouble() * most;
            in(0, new WatchEvent.Connected(link));
            in(delay, new WatchEvent.AnswerReceived(link));
            in(delay, well ? new WatchEvent.UpdateReceived(link, CHANGE) : new WatchEvent.Heartbeat(link));
            if (!well) {
                double lasts = delay + random.nextDouble() * 8;
                for (double beat = delay + 2; beat < lasts; beat += 2) {
                    in(beat, new WatchEvent.Heartbeat(link));
                }
                if (fate == 4) {
                    in(lasts, new WatchEvent.Closed(link));
                    live.add(link);
                } else if (now + lasts > changedAt && random.nextBoolean()) {
                    // Else it says nothing of the change: it falls silent at that moment at the latest.
                    live.add(link);
                }
            }
        }
        // Else it never comes up.
    }

    private void play(double until) {
        while (takenAt < 0) {
            double wake = Math.max(now + 1e-6, state.nextDeadline());
            double at = queue.isEmpty() ? wake : Math.min(wake, queue.peek().at);
            if (at > until) {
                now = until;
                return;
            }
            now = Math.max(now, at);
            on(!queue.isEmpty() && queue.peek().at <= at ? queue.poll().event : new WatchEvent.Tick());
        }
    }

    @Property(tries = 4000, seed = "33", shrinking = ShrinkingMode.OFF)
    void aChangeIsTakenInWithinTheBound(
            @ForAll long seed, @ForAll boolean pushed, @ForAll @DoubleRange(min = 0.3, max = 2) double stop) {
        random = new Random(seed);
        WatchTimeouts timing = WatchTimeouts.of(pushed, stop);
        state = WatchStateMachine.initial(timing, 41, seed);
        now = 0;
        queue = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
        live = new HashSet<>();
        takenAt = -1;
        mayLoseOne = false;
        // An agent on this machine answers at once.
        most = pushed ? 0.001 : 1;
        changedAt = 1 + random.nextDouble() * 30;
        on(new WatchEvent.AddressChanged("a:1"));
        if (random.nextInt(3) == 0) {
            in(changedAt - random.nextDouble(), new WatchEvent.AddressChanged("b:1"));
        }
        play(changedAt);
        now = changedAt;
        boolean watched = false;
        boolean waits = false;
        for (WatchConnection link : state.connections()) {
            watched |= link.isAnswered();
            waits |= !link.isAnswered() && !link.isTimedOut();
            if (live.contains(link.id()) && link.isAnswered()) {
                in(0, new WatchEvent.UpdateReceived(link.id(), CHANGE));
            }
        }
        // What is told by a watch that still stands ends with it; of calls that are out no answer comes.
        queue.removeIf(due -> !(due.event instanceof WatchEvent.UpdateReceived
                || due.event instanceof WatchEvent.AddressChanged
                || due.event instanceof WatchEvent.Closed));
        mayLoseOne = !waits && !pushed;
        double within = pushed && !watched ? PUSHED_SHARE * stop : ASKED_WITHIN;
        play(changedAt + 60);
        assertEquals(42, state.version());
        assertTrue(
                takenAt - changedAt <= within + 0.01,
                "taken in " + (takenAt - changedAt)
                        + " s late, at most " + within + "; watched " + watched + ", waits " + waits + ", links "
                        + state.connections());
    }
}

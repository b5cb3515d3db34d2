package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.RequestRouter;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;

/**
 * From the moment at which discovery has a change and can be reached, that change is applied within the protocol's
 * bound, whatever became of the calls before: failed, refused, slow, silent, or a watch that fell silent, in any order.
 * Virtual time; docs/membership.md sums the bound.
 */
class ChangeInTimeTest {

    /** Of the six seconds one is left for what was read to reach the routing policy. */
    private static final double ON_REQUEST_BOUND_SECONDS = 5;
    /** Of the rule's time a quarter is left for the same. */
    private static final double PUSHED_BOUND_FRACTION = 0.75;

    private static final double HEARTBEAT_SECONDS = 2;
    private static final double SHORTEST_STEP_SECONDS = 1e-6;
    private static final double ROUND_TRIP_SECONDS = 0.001;
    private static final EndpointUpdate CHANGE = new EndpointUpdate(42, RequestRouter.Scope.CHANGES, List.of());

    private Random random;
    private WatchStateMachine state;
    private EventSchedule schedule;
    private double now;
    /** When discovery has the change and can be reached. */
    private double changedAt;
    /** When the change was applied; under 0 before. */
    private double appliedAt;

    private double maxAnswerSeconds;
    private boolean mayLoseOneCall;
    /** The connections that bring the change when it comes. */
    private Set<Integer> live;

    private boolean watched;
    private boolean callIsWaiting;

    @Property(tries = 4000, seed = "33", shrinking = ShrinkingMode.OFF)
    void changeIsAppliedWithinTheBoundWhateverBecameOfEarlierCalls(
            @ForAll long seed, @ForAll boolean pushed, @ForAll @DoubleRange(min = 0.3, max = 2) double stopSeconds) {
        start(seed, pushed, stopSeconds);
        play(changedAt);
        now = changedAt;
        change();
        mayLoseOneCall = !callIsWaiting && !pushed;
        double bound = pushed && !watched ? PUSHED_BOUND_FRACTION * stopSeconds : ON_REQUEST_BOUND_SECONDS;
        play(changedAt + 60);
        assertEquals(42, state.version());
        assertTrue(
                appliedAt - changedAt <= bound + 0.01,
                "applied " + (appliedAt - changedAt)
                        + " s late, at most " + bound + "; watched " + watched + ", waits " + callIsWaiting
                        + ", connections " + state.connections());
    }

    private void start(long seed, boolean pushed, double stopSeconds) {
        random = new Random(seed);
        state = WatchStateMachine.initial(WatchTimeouts.of(pushed, stopSeconds), 41, seed);
        schedule = new EventSchedule();
        now = 0;
        live = new HashSet<>();
        appliedAt = -1;
        mayLoseOneCall = false;
        // An agent on this machine answers at once.
        maxAnswerSeconds = pushed ? ROUND_TRIP_SECONDS : 1;
        changedAt = 1 + random.nextDouble() * 30;
        on(new WatchEvent.AddressChanged("a:1"));
        if (random.nextInt(3) == 0) {
            in(changedAt - random.nextDouble(), new WatchEvent.AddressChanged("b:1"));
        }
    }

    /** Discovery has the change: connections that still stand bring it, calls that are out are not answered. */
    private void change() {
        watched = false;
        callIsWaiting = false;
        for (WatchConnection connection : state.connections()) {
            watched |= connection.isAnswered();
            callIsWaiting |= !connection.isAnswered() && !connection.isTimedOut();
            if (live.contains(connection.id()) && connection.isAnswered()) {
                in(0, new WatchEvent.UpdateReceived(connection.id(), CHANGE));
            }
        }
        schedule.removeIf(event -> !(event instanceof WatchEvent.UpdateReceived
                || event instanceof WatchEvent.AddressChanged
                || event instanceof WatchEvent.Closed));
    }

    private void play(double until) {
        while (appliedAt < 0) {
            double deadline = Math.max(now + SHORTEST_STEP_SECONDS, state.nextDeadline());
            double at = Math.min(deadline, schedule.nextAt());
            if (at > until) {
                now = until;
                return;
            }
            now = Math.max(now, at);
            on(!schedule.isEmpty() && schedule.nextAt() <= at ? schedule.poll() : new WatchEvent.Tick());
        }
    }

    private void in(double delay, WatchEvent event) {
        schedule.add(now + delay, event);
    }

    private void on(WatchEvent event) {
        WatchOutcome outcome = state.on(event, now);
        state = outcome.state();
        for (WatchCommand command : outcome.commands()) {
            if (command instanceof WatchCommand.Open open) {
                decideCall(open.connection());
            } else if (command instanceof WatchCommand.Apply) {
                appliedAt = now;
            }
        }
    }

    /** What becomes of a call: anything before discovery can be reached, an answer from then on. */
    private void decideCall(int connection) {
        boolean reachable = now >= changedAt;
        boolean lost = reachable && mayLoseOneCall && random.nextBoolean();
        mayLoseOneCall &= !lost;
        int fate = lost ? 1 + random.nextInt(2) : reachable ? 5 : random.nextInt(6);
        switch (fate) {
            case 0 -> in(ROUND_TRIP_SECONDS, new WatchEvent.Closed(connection));
            case 1 -> in(ROUND_TRIP_SECONDS, new WatchEvent.Connected(connection));
            case 2 -> {
                // It is never established.
            }
            case 3 -> {
                in(ROUND_TRIP_SECONDS, new WatchEvent.Connected(connection));
                in(random.nextDouble() * 3, new WatchEvent.Closed(connection));
            }
            default -> answer(connection, reachable, fate == 4);
        }
    }

    private void answer(int connection, boolean reachable, boolean closes) {
        double delay = random.nextDouble() * maxAnswerSeconds;
        in(0, new WatchEvent.Connected(connection));
        in(delay, new WatchEvent.AnswerReceived(connection));
        if (reachable) {
            in(delay, new WatchEvent.UpdateReceived(connection, CHANGE));
            return;
        }
        in(delay, new WatchEvent.Heartbeat(connection));
        double lasts = delay + random.nextDouble() * 8;
        for (double heartbeat = delay + HEARTBEAT_SECONDS; heartbeat < lasts; heartbeat += HEARTBEAT_SECONDS) {
            in(heartbeat, new WatchEvent.Heartbeat(connection));
        }
        if (closes) {
            in(lasts, new WatchEvent.Closed(connection));
            live.add(connection);
        } else if (now + lasts > changedAt && random.nextBoolean()) {
            // Else it brings nothing of the change: it falls silent at that moment at the latest.
            live.add(connection);
        }
    }
}

package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** The sums of docs/membership.md. */
class WatchTimeoutsTest {

    private static final double EXACT_ENOUGH = 1e-9;

    @Test
    void listsOnRequestAreWaitedForWithinSixSeconds() {
        WatchTimeouts timeouts = WatchTimeouts.of(false, 0.5);
        assertTimes(timeouts, 0.3, 1.4, 1, 2, 0.2, 1);
        assertEquals(2.5, timeouts.silence().idleSeconds(), EXACT_ENOUGH);
        assertEquals(0.5, timeouts.silence().maxJitterSeconds(), EXACT_ENOUGH);
        assertEquals(10, timeouts.staleListSeconds(), EXACT_ENOUGH);
        assertEquals(3, timeouts.connect().maxConnections());
        assertEquals(false, timeouts.localAgent());
    }

    @Test
    void pushedListsAreWaitedForWithinTheDrainRule() {
        assertTimes(WatchTimeouts.of(true, 0.8), 0.2, 0.8, 0.4, 1.2, 0.2, 0.2);
        assertTimes(WatchTimeouts.of(true, 4), 0.3, 1.4, 1, 2, 0.2, 1);
        assertEquals(true, WatchTimeouts.of(true, 4).localAgent());
    }

    @Test
    void drainRuleThatCannotBeKeptCountsAsTheShortestThatCan() {
        assertEquals(WatchTimeouts.of(true, 0.2), WatchTimeouts.of(true, 0.01));
    }

    @Test
    void boundsThatContradictEachOtherAreRejected() {
        WatchTimeouts.Connect connect = new WatchTimeouts.Connect(0.3, 2, 3);
        WatchTimeouts.Answer answer = new WatchTimeouts.Answer(1, 1.9);
        WatchTimeouts.Silence silence = new WatchTimeouts.Silence(2.5, 0);
        Backoff backoff = new Backoff(0.2, 4);
        assertThrows(
                InvalidWatchTimeoutsException.class,
                () -> new WatchTimeouts(connect, answer, silence, backoff, 10, false));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new WatchTimeouts.Connect(0.3, 0.3, 3));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new WatchTimeouts.Connect(0.3, 2, 1));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new WatchTimeouts.Answer(0, 2));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new WatchTimeouts.Silence(2.5, -1));
    }

    private static void assertTimes(
            WatchTimeouts timeouts, double race, double connect, double backup, double answer, double... pauses) {
        assertEquals(race, timeouts.connect().raceSeconds(), EXACT_ENOUGH);
        assertEquals(connect, timeouts.connect().giveUpSeconds(), EXACT_ENOUGH);
        assertEquals(backup, timeouts.answer().backupSeconds(), EXACT_ENOUGH);
        assertEquals(answer, timeouts.answer().giveUpSeconds(), EXACT_ENOUGH);
        assertEquals(pauses[0], timeouts.backoff().initialSeconds(), EXACT_ENOUGH);
        assertEquals(pauses[1], timeouts.backoff().maxSeconds(), EXACT_ENOUGH);
    }
}

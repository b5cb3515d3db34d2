package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long a request may have waited before it was read. */
class ListenQueueClockTest {

    private static final int QUEUE = 3;

    private final ListenQueueClock clock = new ListenQueueClock(QUEUE, 0);

    @Test
    void connectionHasComeSinceTheQueueWasEmpty() {
        assertEquals(10, clock.accepted(10));
        clock.foundEmpty(50);
        assertEquals(5, clock.accepted(55));
        assertEquals(6, clock.accepted(56));
    }

    @Test
    void connectionHasComeBehindAtMostAsManyAsTheQueueHolds() {
        for (int now = 1; now <= QUEUE; now++) {
            assertEquals(now, clock.accepted(now));
        }
        assertEquals(9, clock.accepted(10));
        assertEquals(18, clock.accepted(20));
    }

    @Test
    void waitCountsOnlyForARequestThatWasThereWithItsConnection() {
        ConnectionArrival arrival = new ConnectionArrival(1_000, 300_000_000);
        assertEquals(0.31, arrival.maxSecondsSinceSend(5_001_000, 10_001_000), 1e-9);
        // A reading thread that was late found it there.
        assertEquals(0.8, arrival.maxSecondsSinceSend(490_001_000, 500_001_000), 1e-9);
        // The client took its time, though all of it came at once.
        assertEquals(0, arrival.maxSecondsSinceSend(5_001_000, 60_001_000));
    }
}

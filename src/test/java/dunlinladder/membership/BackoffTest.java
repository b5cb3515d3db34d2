package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackoffTest {

    private static final Backoff BACKOFF = new Backoff(0.25, 4);

    @ParameterizedTest
    @CsvSource({"0, 0.25", "1, 0.5", "3, 2", "4, 4", "5, 4", "2000000000, 4"})
    void boundDoublesWithEachFailureUpToTheMaximum(int failures, double bound) {
        assertEquals(bound, BACKOFF.pauseSeconds(failures, 1));
        assertEquals(bound / 2, BACKOFF.pauseSeconds(failures, 0.5));
        assertEquals(0, BACKOFF.pauseSeconds(failures, 0));
    }

    @Test
    void boundsThatContradictEachOtherAreRejected() {
        assertThrows(InvalidWatchTimeoutsException.class, () -> new Backoff(0, 1));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new Backoff(1, 0.5));
        assertThrows(InvalidWatchTimeoutsException.class, () -> new Backoff(Double.NaN, 1));
    }
}

package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which values bound the gateway. */
class LimitsTest {

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NEGATIVE_INFINITY, Double.NaN})
    void rejectsWhatIsNotZeroOrMore(double seconds) {
        LimitsBuilder limits = LimitsBuilder.limits().releaseSeconds(seconds);
        Exception fault = assertThrows(IllegalArgumentException.class, limits::build);
        assertEquals("releaseSeconds is " + seconds + ", but must be 0 or more", fault.getMessage());
    }
}

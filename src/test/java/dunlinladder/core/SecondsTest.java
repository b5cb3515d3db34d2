package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Times as headers and the log state them. */
class SecondsTest {

    @ParameterizedTest
    @CsvSource({
        "0, 0.000",
        "0.001, 0.001",
        "0.0004, 0.000",
        "0.0996, 0.100",
        "4.8, 4.800",
        "12.3456, 12.346",
        "59.9999, 60.000",
        "-1, 0.000",
        "100000, 100000.000"
    })
    void writesThreeDecimalsAndNoSign(double seconds, String text) {
        assertEquals(text, Seconds.text(seconds));
    }
}

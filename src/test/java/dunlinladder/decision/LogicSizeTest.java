package dunlinladder.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module stays short enough to be read in an hour. */
class LogicSizeTest {

    @Test
    void logicHoldsAtMost950NonBlankLines() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/dunlinladder/decision/Logic.java"));
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 950, "Logic.java has " + count + " non-blank lines");
    }
}

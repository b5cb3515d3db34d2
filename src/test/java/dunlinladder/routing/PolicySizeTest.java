package dunlinladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The files that the deploy file lists as the routing policy stay short enough to be read in an hour. */
class PolicySizeTest {

    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Pattern POLICY_LIST = Pattern.compile("^policy\\s*=\\s*\\[(.*)]", Pattern.MULTILINE);
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final int MOST_LINES = 950;

    @Test
    void policyFilesHoldAtMost950NonBlankLines() throws IOException {
        List<Path> files = policyFiles();
        assertFalse(files.isEmpty(), "the deploy file lists no policy files");
        long lines = 0;
        for (Path file : files) {
            lines += Files.readAllLines(file).stream()
                    .filter(line -> !line.isBlank())
                    .count();
        }
        assertTrue(lines <= MOST_LINES, "the policy files hold " + lines + " non-blank lines");
    }

    @Test
    void noPolicyFileIsListedTwice() throws IOException {
        List<Path> files = policyFiles();
        assertEquals(files.stream().distinct().count(), files.size());
    }

    private static List<Path> policyFiles() throws IOException {
        Matcher list = POLICY_LIST.matcher(Files.readString(DEPLOY_FILE));
        assertTrue(list.find(), "the deploy file has no policy list");
        List<Path> files = new ArrayList<>();
        Matcher names = QUOTED.matcher(list.group(1));
        while (names.find()) {
            files.add(Path.of(names.group(1)));
        }
        return files;
    }
}

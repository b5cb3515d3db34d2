package dunlinladder.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The JVM that the start script asks for follows the configuration. */
class RunScriptTest {

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({"'{\"limits\":{\"memory_mb\":160}}', 48",
        "'{\"limits\": {\"cores\": 1.0,\n \"memory_mb\" : 192}}', 57",
        "'{\"limits\":{\"memory_mb\":32}}', 16",
        "'{}', 48", "'{\"limits\":{\"memory_mb\":4096}}', 256"})
    void heapFollowsMemory(String configuration, int heap) throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path config = Files.writeString(folder.resolve("config.json"), configuration);
        ProcessBuilder builder = new ProcessBuilder("sh", "deploy/run.sh").redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("PATH", folder + ":" + builder.environment().get("PATH"));
        Process process = builder.start();
        String line = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), line);
        assertTrue(line.contains("-Xms" + heap + "m -Xmx" + heap + "m "), line);
        assertTrue(line.endsWith("-jar target/dunlinladder.jar serve\n"), line);
    }
}

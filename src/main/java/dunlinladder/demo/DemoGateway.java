package dunlinladder.demo;

import dunlinladder.lifecycle.DemoConfiguration;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The real gateway, with its chat front, in a process of its own. */
final class DemoGateway implements AutoCloseable {

    /** The secret key with which clients of the chat front show who they are. */
    static final String CLIENT_KEY = "demo";

    private static final String CONFIG_FILE = "config.json";
    private static final String STATE_FILE = "applied.json";
    private static final String ANY_PORT = "127.0.0.1:0";
    /** Part of the line that the gateway logs when the chat front listens. */
    private static final String CHAT_LISTENS = "front=chat ";

    private static final String PORT_FIELD = "port=";

    private static final String STATE = """
            {"serial":1,"settings":{"listen":"127.0.0.1:0","keys.DEMO_KEY.tenant":"tenant-a",
            "models.shelf-lookup.class":"repeatable","models.shelf-listing.class":"once",
            "generations.old.format":"chat","generations.old.ids":"old-.*",
            "generations.new.format":"responses","generations.new.ids":"new-.*"}}""";

    private final Process process;

    /**
     * Starts the gateway.
     *
     * @param folder takes its files, which {@link #deleteFiles} deletes
     * @param discovery host and port of discovery
     */
    DemoGateway(Path folder, String discovery) throws IOException {
        Path config = Files.writeString(
                folder.resolve(CONFIG_FILE),
                "{\"name\":\"demo\",\"seed\":\"1\",\"discovery\":\"" + discovery + "\",\"listen\":\"" + ANY_PORT
                        + "\",\"settings\":" + DemoConfiguration.SETTINGS + "}");
        Path state = Files.writeString(folder.resolve(STATE_FILE), STATE);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinladder.lifecycle.Main",
                "serve",
                "--state",
                state.toString());
        builder.environment()
                .putAll(Map.of(
                        "RELAY_CONFIG",
                        config.toString(),
                        "RELAY_LISTEN",
                        ANY_PORT,
                        "RELAY_DISCOVERY",
                        discovery,
                        "DEMO_KEY",
                        CLIENT_KEY));
        process = builder.redirectErrorStream(true).start();
    }

    /** Deletes what the gateway was given to read. */
    static void deleteFiles(Path folder) throws IOException {
        for (String name : List.of(CONFIG_FILE, STATE_FILE)) {
            Files.deleteIfExists(folder.resolve(name));
        }
    }

    /**
     * Waits for the chat front's port in the log, which is read on in the background.
     *
     * @throws IOException where the process ends before, with what it logged
     */
    int awaitChatPort() throws IOException {
        BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        StringBuilder before = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            before.append(line).append('\n');
            if (line.contains(CHAT_LISTENS)) {
                Thread drain = new Thread(() -> skip(log), "log");
                drain.setDaemon(true);
                drain.start();
                return Integer.parseInt(line.substring(line.lastIndexOf(PORT_FIELD) + PORT_FIELD.length()));
            }
        }
        throw new IOException("the gateway did not come up:\n" + before);
    }

    /** Reads on, so that the gateway never waits for its log to be taken. */
    private static void skip(BufferedReader log) {
        try {
            while (log.readLine() != null) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // The gateway has ended.
        }
    }

    /** Stops the gateway in order and waits for its end. */
    @Override
    public void close() {
        process.destroy();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

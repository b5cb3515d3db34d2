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

/** The real gateway, with its chat front, in its own process. */
final class DemoGateway implements AutoCloseable {

    /** The secret key with which clients authenticate at the chat front. */
    static final String CLIENT_KEY = "demo";

    private static final String CONFIG_FILE = "config.json";
    private static final String STATE_FILE = "applied.json";
    private static final String ANY_PORT = "127.0.0.1:0";
    /** Part of the log line that reports that the chat front is listening. */
    private static final String CHAT_LISTENING = "front=chat ";

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
     * @param folder receives the gateway's files, which {@link #deleteFiles} deletes
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

    /** Deletes the files from which the gateway was configured. */
    static void deleteFiles(Path folder) throws IOException {
        for (String name : List.of(CONFIG_FILE, STATE_FILE)) {
            Files.deleteIfExists(folder.resolve(name));
        }
    }

    /**
     * Waits until the log states the chat front's port, and returns the port. Reads the rest of the log in the
     * background.
     *
     * @throws IOException if the process ends before that; the message contains its log
     */
    int awaitChatPort() throws IOException {
        BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        StringBuilder logText = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            logText.append(line).append('\n');
            if (line.contains(CHAT_LISTENING)) {
                Thread logReader = new Thread(() -> discard(log), "log");
                logReader.setDaemon(true);
                logReader.start();
                return Integer.parseInt(line.substring(line.lastIndexOf(PORT_FIELD) + PORT_FIELD.length()));
            }
        }
        throw new IOException("the gateway did not start:\n" + logText);
    }

    /** Reads and discards the rest of the log, so that the gateway never blocks on writing it. */
    private static void discard(BufferedReader log) {
        try {
            while (log.readLine() != null) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // The gateway has ended.
        }
    }

    /** Stops the gateway with SIGTERM and waits until the process has ended. */
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

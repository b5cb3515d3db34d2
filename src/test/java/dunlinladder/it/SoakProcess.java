package dunlinladder.it;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** One process of the soak, by its output, its input and the signals that it is sent. */
final class SoakProcess {

    private static final int READY_SECONDS = 20;
    private static final String PORT_MARK = "port";

    static {
        // Whatever ends the run, its processes end with it.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly)));
    }

    final Process process;
    /** The port that it has printed. */
    final int port;

    private SoakProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /**
     * Starts a JVM and waits for the first line with a port; each further line goes to {@code lines}.
     *
     * @param command main class and its arguments
     */
    static SoakProcess start(List<String> command, Map<String, String> environment, Consumer<String> lines)
            throws IOException {
        return start(System.getProperty("java.class.path"), command, environment, lines);
    }

    /** The class path of this process, behind a folder with other classes where one is named. */
    static String classPathWith(String folder) {
        String own = System.getProperty("java.class.path");
        return folder.isEmpty() ? own : folder + File.pathSeparator + own;
    }

    /** The same with another class path. */
    static SoakProcess start(
            String classPath, List<String> command, Map<String, String> environment, Consumer<String> lines)
            throws IOException {
        List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-cp",
                classPath));
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().putAll(environment);
        Process process = builder.start();
        CompletableFuture<Integer> port = new CompletableFuture<>();
        Thread reader = new Thread(() -> read(process, port, lines));
        reader.setDaemon(true);
        reader.start();
        try {
            return new SoakProcess(process, port.get(READY_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException | TimeoutException e) {
            process.destroyForcibly();
            throw new IOException("not ready: " + command, e);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before it was ready", e);
        }
    }

    private static void read(Process process, CompletableFuture<Integer> port, Consumer<String> lines) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                int mark = line.lastIndexOf(PORT_MARK);
                if (!port.isDone() && mark >= 0 && line.substring(mark).matches("port[= ]\\d+")) {
                    port.complete(Integer.parseInt(line.substring(mark + PORT_MARK.length() + 1)));
                }
                lines.accept(line);
            }
        } catch (IOException | UncheckedIOException e) {
            // Killed under a read.
        }
        port.completeExceptionally(new IOException("its output has ended"));
    }

    /** Writes a line to its input. */
    void tell(String line) {
        try {
            OutputStream out = process.getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            // It was killed meanwhile.
        }
    }

    /** Sends it a signal. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void kill() {
        process.destroyForcibly();
    }
}

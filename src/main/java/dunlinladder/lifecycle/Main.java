package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.simulator.SimulatorHost;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/** The program's command line: the gateway, the operator's commands, the simulator's adapter. */
public final class Main {

    private static final String USAGE = """
            usage: java -jar dunlinladder.jar COMMAND
              serve [--state STATE]                 the gateway; chat as applied, off without a state
              plan FILE [--state STATE] [--out P]   what applying FILE would change: exit 0 nothing, 2 changes
              apply FILE|P [--state STATE]          applies an operator's file, or a saved plan
              simhost                               the simulator's adapter""";
    private static final String DEFAULT_STATE = "deploy/applied.json";
    private static final int EXIT_FAILURE = 1;
    private static final int SIMULATOR_BUFFER_CHARS = 64 * 1024;

    private Main() {}

    /** Exits with 1 on malformed input, configuration or usage; {@code plan} with 2 on changes. */
    public static void main(String[] args) throws IOException, InterruptedException {
        try {
            List<String> words = new ArrayList<>(List.of(args));
            Path state = Path.of(removeOption(words, "--state").orElse(DEFAULT_STATE));
            Optional<Path> out = removeOption(words, "--out").map(Path::of);
            run(words, state, out);
        } catch (InvalidInputException | IOException e) {
            System.err.println("dunlinladder: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void run(List<String> words, Path state, Optional<Path> out)
            throws IOException, InterruptedException {
        String command = words.isEmpty() ? "" : words.get(0);
        if (command.equals("serve") && words.size() == 1) {
            serve(state);
        } else if (command.equals("simhost") && words.size() == 1) {
            hostSimulator();
        } else if (command.equals("plan") && words.size() == 2) {
            System.exit(planCommands(state).plan(Path.of(words.get(1)), out));
        } else if (command.equals("apply") && words.size() == 2) {
            planCommands(state).apply(Path.of(words.get(1)));
        } else {
            System.err.println(USAGE);
            System.exit(EXIT_FAILURE);
        }
    }

    /** Takes an option and its value out of the words of a command line; empty where it is not there. */
    private static Optional<String> removeOption(List<String> words, String name) {
        int index = words.indexOf(name);
        if (index < 0) {
            return Optional.empty();
        }
        if (index + 1 == words.size()) {
            throw new InvalidInputException(name + " needs a value");
        }
        words.remove(index);
        return Optional.of(words.remove(index));
    }

    private static PlanCommands planCommands(Path state) {
        return new PlanCommands(state, System.getenv(), System.out);
    }

    /** Serves until a signal ends the process. */
    private static void serve(Path state) throws IOException, InterruptedException {
        Map<String, String> environment = System.getenv();
        GatewayConfig config = GatewayConfigReader.read(environment);
        Gateway gateway = new Gateway(config, chatFront(state, config, environment));
        ConfigurationReloader reloader = new ConfigurationReloader(gateway, environment);
        // Without a handler of its own SIGHUP ends the JVM.
        Signal.handle(new Signal("HUP"), signal -> reloader.reload());
        // Before the start: a signal that comes between its first client and this would lose that client.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(gateway), "stop"));
        gateway.start();
        gateway.whileDiscoveryIsLost(reloader::reloadIfChanged);
        new CountDownLatch(1).await();
    }

    private static Optional<ChatFrontConfig> chatFront(
            Path state, GatewayConfig config, Map<String, String> environment) throws IOException {
        if (!Files.exists(state)) {
            return Optional.empty();
        }
        return Optional.of(ChatConfigReader.chatFront(AppliedState.read(state).settings(), config, environment));
    }

    /** Runs as the JVM's shutdown hook; ends the process with 0 when the gateway stopped in order, else with 1. */
    private static void stop(Gateway gateway) {
        int status = 0;
        try {
            if (!gateway.stop()) {
                return;
            }
        } catch (InterruptedException | IOException | RuntimeException e) {
            // Whatever the fault, nothing is left to be done but to tell it by the exit status.
            status = EXIT_FAILURE;
        }
        // Left to itself a JVM that ends by SIGTERM exits with 143.
        Runtime.getRuntime().halt(status);
    }

    private static void hostSimulator() throws IOException {
        BufferedReader in = new BufferedReader(
                new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                SIMULATOR_BUFFER_CHARS);
        Writer out = new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        new SimulatorHost(in, out).run();
    }
}

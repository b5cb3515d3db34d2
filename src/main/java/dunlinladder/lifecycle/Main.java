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

/** The command line of the program: the gateway, the operator's commands, the simulator's adapter. */
public final class Main {

    private static final String USAGE = """
            usage: java -jar dunlinladder.jar COMMAND
              serve [--state STATE]                 runs the gateway, with the chat front of STATE if there is one
              plan FILE [--state STATE] [--out P]   prints what FILE would change; exit code 0: no changes, 2: changes
              apply FILE|P [--state STATE]          applies an operator's file, or a saved plan
              simhost                               runs the simulator's adapter""";
    private static final String DEFAULT_STATE = "deploy/applied.json";
    private static final int EXIT_FAILURE = 1;
    private static final int SIMULATOR_BUFFER_CHARS = 64 * 1024;

    private Main() {}

    /**
     * Runs a command. Exits with 1 on malformed input, configuration or usage, or on an I/O error; {@code plan} exits
     * with 2 on changes.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        try {
            List<String> arguments = new ArrayList<>(List.of(args));
            Path state = Path.of(removeOption(arguments, "--state").orElse(DEFAULT_STATE));
            Optional<Path> out = removeOption(arguments, "--out").map(Path::of);
            run(arguments, state, out);
        } catch (InvalidInputException | IOException e) {
            System.err.println("dunlinladder: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void run(List<String> arguments, Path state, Optional<Path> out)
            throws IOException, InterruptedException {
        String command = arguments.isEmpty() ? "" : arguments.get(0);
        if (command.equals("serve") && arguments.size() == 1) {
            serve(state);
        } else if (command.equals("simhost") && arguments.size() == 1) {
            runSimulatorAdapter();
        } else if (command.equals("plan") && arguments.size() == 2) {
            System.exit(planCommands(state).plan(Path.of(arguments.get(1)), out));
        } else if (command.equals("apply") && arguments.size() == 2) {
            planCommands(state).apply(Path.of(arguments.get(1)));
        } else {
            System.err.println(USAGE);
            System.exit(EXIT_FAILURE);
        }
    }

    /** Removes an option and its value from the arguments and returns the value; empty if the option is absent. */
    private static Optional<String> removeOption(List<String> arguments, String name) {
        int index = arguments.indexOf(name);
        if (index < 0) {
            return Optional.empty();
        }
        if (index + 1 == arguments.size()) {
            throw new InvalidInputException(name + " needs a value");
        }
        arguments.remove(index);
        return Optional.of(arguments.remove(index));
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
        // Without a handler, SIGHUP ends the JVM.
        Signal.handle(new Signal("HUP"), signal -> reloader.reload());
        // Registered before the start: a signal between the first client and the registration would lose that client.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(gateway), "stop"));
        gateway.start();
        gateway.scheduleWhileDiscoveryFails(reloader::reloadIfChanged);
        new CountDownLatch(1).await();
    }

    private static Optional<ChatFrontConfig> chatFront(
            Path state, GatewayConfig config, Map<String, String> environment) throws IOException {
        if (!Files.exists(state)) {
            return Optional.empty();
        }
        return Optional.of(ChatConfigReader.chatFront(AppliedState.read(state).settings(), config, environment));
    }

    /**
     * Runs as the JVM's shutdown hook. Ends the process with 0 after a regular stop of the gateway, and with 1 after an
     * error. If the gateway was not running, does nothing, and the JVM ends with the exit status that it already has.
     */
    private static void stop(Gateway gateway) {
        int status = 0;
        try {
            if (!gateway.stop()) {
                return;
            }
        } catch (InterruptedException | IOException | RuntimeException e) {
            // Whatever the error is, it can only be reported by the exit status.
            status = EXIT_FAILURE;
        }
        // Without this call, a JVM that ends by SIGTERM exits with 143.
        Runtime.getRuntime().halt(status);
    }

    private static void runSimulatorAdapter() throws IOException {
        BufferedReader in = new BufferedReader(
                new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                SIMULATOR_BUFFER_CHARS);
        Writer out = new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        new SimulatorHost(in, out).run();
    }
}

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
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Starts the program: the gateway, the operator's commands, the simulator's adapter. */
public final class Main {

    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final String USAGE = """
            usage: java -jar dunlinladder.jar COMMAND
              serve [--state STATE]                 the gateway; chat as applied, off without a state
              plan FILE [--state STATE] [--out P]   what applying FILE would change: exit 0 nothing, 2 changes
              apply FILE|P [--state STATE]          applies an operator's file, or a saved plan
              simhost                               the simulator's adapter""";

    /** When the file had last changed at the last look. */
    private static FileTime lookedAt;

    private Main() {}

    /** Exits with 1 on malformed input, configuration or usage; {@code plan} with 2 on changes. */
    public static void main(String[] args) throws IOException, InterruptedException {
        try {
            List<String> words = new ArrayList<>(List.of(args));
            Path state = Path.of(option(words, "--state", "deploy/applied.json"));
            String out = option(words, "--out", null);
            String command = words.isEmpty() ? "" : words.get(0);
            if (command.equals("serve") && words.size() == 1) {
                serve(state);
            } else if (command.equals("simhost") && words.size() == 1) {
                simulate();
            } else if (command.equals("plan") && words.size() == 2) {
                System.exit(new PlanCommands(state, System.getenv(), System.out).plan(Path.of(words.get(1)), out));
            } else if (command.equals("apply") && words.size() == 2) {
                new PlanCommands(state, System.getenv(), System.out).apply(Path.of(words.get(1)));
            } else {
                System.err.println(USAGE);
                System.exit(1);
            }
        } catch (InvalidInputException | IOException e) {
            System.err.println("dunlinladder: " + e.getMessage());
            System.exit(1);
        }
    }

    private static String option(List<String> words, String name, String absent) {
        int at = words.indexOf(name);
        if (at < 0) {
            return absent;
        }
        if (at + 1 == words.size()) {
            throw new InvalidInputException(name + " needs a value");
        }
        words.remove(at);
        return words.remove(at);
    }

    private static void serve(Path state) throws IOException, InterruptedException {
        GatewayConfig config = GatewayConfig.read(System.getenv());
        Gateway gateway = new Gateway(
                config,
                Files.exists(state)
                        ? ChatConfigReader.chat(PlanCommands.applied(state).settings(), config, System.getenv())
                        : null);
        // Without a handler of its own SIGHUP ends the JVM.
        Signal.handle(new Signal("HUP"), signal -> reload(gateway));
        // Before the start: a signal that comes between its first client and this would lose that client.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            int status = 0;
                            try {
                                if (!gateway.stop()) {
                                    return;
                                }
                            } catch (InterruptedException | IOException | RuntimeException e) {
                                status = 1;
                            }
                            // Left to itself a JVM that ends by SIGTERM exits with 143.
                            Runtime.getRuntime().halt(status);
                        },
                        "stop"));
        gateway.start();
        gateway.whileDiscoveryIsLost(() -> lookAgain(gateway));
        new CountDownLatch(1).await();
    }

    /**
     * Discovery may have moved although no SIGHUP came: a JVM started where that signal is ignored, as under nohup,
     * never hears of it, whatever handler it asks for. So the file is looked at once more, and read if it has changed
     * since the last look.
     */
    private static synchronized void lookAgain(Gateway gateway) {
        try {
            FileTime changed = Files.getLastModifiedTime(Path.of(System.getenv("RELAY_CONFIG")));
            if (!changed.equals(lookedAt)) {
                lookedAt = changed;
                reload(gateway);
            }
        } catch (IOException e) {
            LOG.warn("discovery does not answer and the configuration can't be looked at: {}", e.toString());
        }
    }

    /** A bad file must not cost a gateway that serves: it keeps what it has, and says why. */
    private static synchronized void reload(Gateway gateway) {
        try {
            gateway.reload(GatewayConfig.reread(System.getenv()));
            LOG.info("the configuration was read again");
        } catch (InvalidInputException | IOException e) {
            LOG.error("the configuration was read again and not taken: {}", e.getMessage());
        }
    }

    private static void simulate() throws IOException {
        BufferedReader in = new BufferedReader(
                new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8), 1 << 16);
        Writer out = new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        new SimulatorHost(in, out).run();
    }
}

package dunlinladder.transport.simulator;

import dunlinladder.routing.Router;
import dunlinladder.routing.RoutingAction;
import dunlinladder.routing.RoutingEvent;
import dunlinladder.routing.RoutingPolicy;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Runs one routing policy for each gateway instance that the simulator opens: reads batches of events, passes each
 * event to the policy of its instance and writes the actions.
 */
public final class SimulatorHost {

    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, Router> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();

    /** Creates a host that reads messages from {@code in} and writes messages to {@code out}. */
    public SimulatorHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws InvalidInputException if the input is malformed
     */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                processBatch(parseMessage(line));
            }
        }
    }

    private void processBatch(Message batchStart) throws IOException {
        if (!batchStart.name.equals("Turn")) {
            throw new InvalidInputException("expected Turn, got " + batchStart.name);
        }
        double now = batchStart.body.number("ts");
        long turn = batchStart.body.integer("turn");
        for (Message message = nextMessage(); !message.name.equals("Commit"); message = nextMessage()) {
            process(now, message);
        }
        reply.append("{\"End\":{\"turn\":").append(turn).append("}}\n");
        out.write(reply.toString());
        out.flush();
        reply.setLength(0);
    }

    private Message nextMessage() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new InvalidInputException("the input ended inside a batch");
        }
        return parseMessage(line);
    }

    private static Message parseMessage(String line) {
        JsonObject json = JsonObject.parse(line);
        Iterator<String> names = json.fields().keySet().iterator();
        if (!names.hasNext()) {
            throw new InvalidInputException("a message without a name");
        }
        String name = names.next();
        if (names.hasNext()) {
            throw new InvalidInputException("a message with more than one name: " + name);
        }
        return new Message(name, new JsonObject(name, json.child(name).fields()));
    }

    private void process(double now, Message message) {
        JsonObject body = message.body;
        if (message.name.equals("Turn")) {
            throw new InvalidInputException("a Turn before the Commit of the previous Turn");
        }
        long instance = switch (message.name) {
            case "OpenInstance",
                    "Detach",
                    "Membership",
                    "JobIn",
                    "FirstByte",
                    "SeatNews",
                    "Returned",
                    "TimedOutClient",
                    "Reminder",
                    "CheckResult",
                    "NoteFrom" -> body.integer("i");
            default -> throw new InvalidInputException("unknown message " + message.name);
        };
        switch (message.name) {
            case "OpenInstance" -> openInstance(instance, body);
            case "Detach" -> instances.remove(instance);
            default -> {
                RoutingEvent event = SimulatorCodec.event(message.name, body);
                Router router = instances.get(instance);
                if (event != null && router != null) {
                    handleEvent(instance, router, now, event);
                }
            }
        }
    }

    private void openInstance(long instance, JsonObject body) {
        long seed = body.integer("salt");
        RoutingSettings settings =
                SettingsReader.read(new JsonObject("info", body.child("info").fields()));
        instances.put(instance, new RoutingPolicy(settings, seed));
    }

    private void handleEvent(long instance, Router router, double now, RoutingEvent event) {
        List<RoutingAction> actions;
        try {
            actions = router.handle(now, event);
        } catch (RuntimeException e) {
            // Any failure of the policy is reported as BailOut; the other instances continue.
            StackTraceElement[] trace = e.getStackTrace();
            SimulatorCodec.bailOut(reply, instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (RoutingAction action : actions) {
            SimulatorCodec.action(reply, instance, action);
        }
    }

    private record Message(String name, JsonObject body) {}
}

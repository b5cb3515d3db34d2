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

/** Hosts the instances: reads batches of events, hands each to its own module, writes the actions. */
public final class SimulatorHost {

    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, Router> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();

    /** Creates a host on the wire's two streams. */
    public SimulatorHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                serveBatch(message(line));
            }
        }
    }

    private void serveBatch(Message head) throws IOException {
        if (!head.name.equals("Turn")) {
            throw new InvalidInputException("expected Turn, got " + head.name);
        }
        double now = head.body.number("ts");
        long turn = head.body.integer("turn");
        for (Message message = next(); !message.name.equals("Commit"); message = next()) {
            serve(now, message);
        }
        reply.append("{\"End\":{\"turn\":").append(turn).append("}}\n");
        out.write(reply.toString());
        out.flush();
        reply.setLength(0);
    }

    private Message next() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new InvalidInputException("the input ended inside a batch");
        }
        return message(line);
    }

    private static Message message(String line) {
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

    private void serve(double now, Message message) {
        JsonObject body = message.body;
        if (message.name.equals("Turn")) {
            throw new InvalidInputException("a Turn before the Commit of the last");
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
            case "OpenInstance" -> open(instance, body);
            case "Detach" -> instances.remove(instance);
            default -> {
                RoutingEvent event = SimulatorCodec.event(message.name, body);
                Router router = instances.get(instance);
                if (event != null && router != null) {
                    decide(instance, router, now, event);
                }
            }
        }
    }

    private void open(long instance, JsonObject body) {
        long seed = body.integer("salt");
        RoutingSettings settings =
                SettingsReader.read(new JsonObject("info", body.child("info").fields()));
        instances.put(instance, new RoutingPolicy(settings, seed));
    }

    private void decide(long instance, Router router, double now, RoutingEvent event) {
        List<RoutingAction> actions;
        try {
            actions = router.handle(now, event);
        } catch (RuntimeException e) {
            // Whatever fault the policy has is told as BailOut; the other instances go on.
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

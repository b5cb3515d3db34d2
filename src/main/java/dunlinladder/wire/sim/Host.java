package dunlinladder.wire.sim;

import dunlinladder.decision.Logic;
import dunlinladder.decision.Router;
import dunlinladder.wire.BadInput;
import dunlinladder.wire.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Hosts the instances: reads batches of events, hands each to its own module, writes the actions. */
public final class Host {

    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, Router> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();

    /** Creates a host on the wire's two streams. */
    public Host(BufferedReader in, Writer out) {
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
            throw new BadInput("expected Turn, got " + head.name);
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
            throw new BadInput("the input ended inside a batch");
        }
        return message(line);
    }

    private static Message message(String line) {
        Json json = Json.parse(line);
        Iterator<String> names = json.fields().keySet().iterator();
        if (!names.hasNext()) {
            throw new BadInput("a message without a name");
        }
        String name = names.next();
        if (names.hasNext()) {
            throw new BadInput("a message with more than one name: " + name);
        }
        return new Message(name, new Json(name, json.child(name).fields()));
    }

    private void serve(double now, Message message) {
        Json body = message.body;
        if (message.name.equals("Turn")) {
            throw new BadInput("a Turn before the Commit of the last");
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
            default -> throw new BadInput("unknown message " + message.name);
        };
        switch (message.name) {
            case "OpenInstance" -> open(instance, body);
            case "Detach" -> instances.remove(instance);
            default -> {
                Router.Event event = Wire.event(message.name, body);
                Router router = instances.get(instance);
                if (event != null && router != null) {
                    decide(instance, router, now, event);
                }
            }
        }
    }

    private void open(long instance, Json body) {
        long seed = body.integer("salt");
        Router.Settings settings =
                SettingsReader.read(new Json("info", body.child("info").fields()));
        instances.put(instance, new Logic(settings, seed));
    }

    private void decide(long instance, Router router, double now, Router.Event event) {
        List<Router.Action> actions;
        try {
            actions = router.handle(now, event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Wire.bailOut(reply, instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Router.Action action : actions) {
            Wire.action(reply, instance, action);
        }
    }

    private record Message(String name, Json body) {}
}

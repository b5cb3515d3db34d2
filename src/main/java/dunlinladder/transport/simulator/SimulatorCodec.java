package dunlinladder.transport.simulator;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dunlinladder.routing.RoutingAction;
import dunlinladder.routing.RoutingEvent;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts between the simulator's wire format and the routing policy: JSON to events, actions to JSON. Makes no
 * decisions.
 */
public final class SimulatorCodec {

    private SimulatorCodec() {}

    /** Returns the event for a message, null if the routing policy does not use it. */
    static RoutingEvent event(String name, JsonObject body) {
        return switch (name) {
            case "Membership" -> endpointsChanged(body);
            case "JobIn" -> new RoutingEvent.RequestArrived(request(body));
            case "FirstByte" ->
                new RoutingEvent.FirstTokenReceived(
                        body.text("id"), (int) body.integer("go"), body.text("worker"), body.number("cost-time"));
            case "Returned" -> attemptEnded(body);
            case "TimedOutClient" -> new RoutingEvent.ClientDisconnected(body.text("id"));
            case "Reminder" -> new RoutingEvent.TimerFired(body.integer("cookie"));
            default -> null;
        };
    }

    private static RoutingEvent.EndpointsChanged endpointsChanged(JsonObject body) {
        RoutingEvent.Scope scope = switch (body.text("scope")) {
            case "D" -> RoutingEvent.Scope.CHANGES;
            case "F" -> RoutingEvent.Scope.COMPLETE;
            case "C" -> RoutingEvent.Scope.CACHED;
            case "X" -> RoutingEvent.Scope.FAILED;
            default -> throw new InvalidInputException("unknown scope " + body.text("scope") + " in Membership");
        };
        List<RoutingEvent.Endpoint> endpoints = new ArrayList<>();
        if (body.has("nodes-list")) {
            for (JsonObject entry : body.children("nodes-list")) {
                endpoints.add(endpoint(entry));
            }
        }
        return new RoutingEvent.EndpointsChanged(scope, endpoints);
    }

    private static RoutingEvent.Endpoint endpoint(JsonObject entry) {
        RoutingEvent.Lifecycle lifecycle = switch (entry.text("lifecycle", "active")) {
            case "active" -> RoutingEvent.Lifecycle.ACTIVE;
            case "leaving" -> RoutingEvent.Lifecycle.LEAVING;
            default -> RoutingEvent.Lifecycle.LEFT;
        };
        return new RoutingEvent.Endpoint(
                entry.text("worker"),
                (int) entry.integer("locality", 0),
                (int) entry.integer("kind", 0),
                (int) entry.integer("cohort", 0),
                lifecycle,
                entry.number("heft", 1),
                entry.number("last-start", 0));
    }

    private static RoutingEvent.Request request(JsonObject body) {
        return new RoutingEvent.Request(
                body.text("id"),
                (int) body.integer("tier-class", 0),
                (int) body.integer("customer", 0),
                body.integer("talk", 0),
                body.number("expires"),
                body.number("predicted", 0),
                body.integer("system-prompt", 0),
                body.number("input-len", 0),
                body.number("prefix-tokens", 0),
                body.number("max-tokens", 0),
                body.flag("retry"),
                body.flag("returned"),
                RoutingEvent.Request.ANY_ENGINE);
    }

    private static RoutingEvent.AttemptEnded attemptEnded(JsonObject body) {
        Map<String, Double> report = new LinkedHashMap<>();
        if (body.has("server-stats")) {
            JsonObject stats = body.child("server-stats");
            for (String name : stats.fields().keySet()) {
                report.put(name, stats.number(name, 0));
            }
        }
        RoutingEvent.Status status = OutcomeCode.status((int) body.integer("outcome"));
        return new RoutingEvent.AttemptEnded(
                body.text("id"),
                (int) body.integer("go"),
                body.text("worker"),
                status,
                body.number("cost-time", 0),
                body.flag("last"),
                body.number("note", 0),
                report,
                status.mayHaveArrived());
    }

    /** Appends the line for one action. */
    static void action(StringBuilder line, long instance, RoutingAction action) {
        if (action instanceof RoutingAction.Forward a) {
            openMessage(line, "Try", instance);
            appendText(line, "id", a.id());
            appendText(line, "worker", a.engine());
            line.append(",\"try-for\":").append(a.timeout());
        } else if (action instanceof RoutingAction.Reject a) {
            openMessage(line, "Reject", instance);
            appendText(line, "id", a.id());
            line.append(",\"backoff\":").append(a.retryAfter());
        } else if (action instanceof RoutingAction.Fail a) {
            openMessage(line, "Lose", instance);
            appendText(line, "id", a.id());
        } else if (action instanceof RoutingAction.ReleaseCache a) {
            openMessage(line, "DropState", instance);
            appendText(line, "id", a.id());
        } else if (action instanceof RoutingAction.SetTimer a) {
            openMessage(line, "Arm", instance);
            line.append(",\"cookie\":")
                    .append(a.token())
                    .append(",\"sleep-for\":")
                    .append(a.delay());
        } else if (action instanceof RoutingAction.WatchEndpoints) {
            openMessage(line, "Follow", instance);
            line.append(",\"want\":true");
        }
        line.append("}}\n");
    }

    /** Appends the line that reports a failure of the routing policy. */
    static void bailOut(StringBuilder line, long instance, String text) {
        openMessage(line, "BailOut", instance);
        appendText(line, "text", text);
        line.append("}}\n");
    }

    private static void openMessage(StringBuilder line, String name, long instance) {
        line.append("{\"").append(name).append("\":{\"i\":").append(instance);
    }

    private static void appendText(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value, line);
        line.append('"');
    }
}

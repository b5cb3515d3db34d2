package dunlinladder.transport.engine;

import dunlinladder.transport.json.JsonObject;
import java.util.Set;

/**
 * The event with which an engine says that its stream is complete. The last chunk alone does not say that: it ends a
 * message of HTTP, and an engine may end one early. Which event it is depends on the API format of the engine.
 */
public enum StreamTerminator {
    /** The marker {@code [DONE]} in place of JSON, in the platform's protocol and the completions formats. */
    DONE_MARKER(Set.of()),
    /** The event that carries the final state of a response, in the responses format. */
    RESPONSE_EVENT(Set.of("response.completed", "response.incomplete", "response.failed")),
    /** The event {@code message_stop}, in the messages format. */
    MESSAGE_STOP(Set.of("message_stop"));

    private static final String MARKER = "[DONE]";
    private static final String TYPE_FIELD = "type";

    private final Set<String> eventTypes;

    StreamTerminator(Set<String> eventTypes) {
        this.eventTypes = eventTypes;
    }

    /** Whether the data of an event is the marker that stands in place of JSON. */
    static boolean isMarker(String data) {
        return data.equals(MARKER);
    }

    /** Whether the marker ends a stream of this kind. */
    boolean isDoneMarker() {
        return this == DONE_MARKER;
    }

    /**
     * Whether an event with JSON ends a stream of this kind.
     *
     * @param eventName the name in the event's {@code event:} field, empty if there is none
     */
    boolean matches(String eventName, JsonObject event) {
        Object type = event.fields().getOrDefault(TYPE_FIELD, eventName);
        return type instanceof String && eventTypes.contains(type);
    }
}

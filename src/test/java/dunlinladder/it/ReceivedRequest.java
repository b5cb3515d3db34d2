package dunlinladder.it;

import java.util.Map;

/** One request as a stub received it; {@code receivedNanos} is the value of {@link System#nanoTime} at that moment. */
record ReceivedRequest(String method, String target, Map<String, String> headers, String body, long receivedNanos) {

    /** Whether the request has this method, and the text in its body or target. */
    boolean matches(String expectedMethod, String text) {
        return method.equals(expectedMethod) && (body + target).contains(text);
    }
}

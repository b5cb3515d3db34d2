package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes the answer of a stub engine to one request. Words in the request's body select the answer and its faults. Each
 * method that writes an answer returns whether the connection stays open for another request.
 */
final class StubAnswer {

    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LOAD_REPORT_STREAM_HEAD =
            STREAM_HEAD.replace("OK\r\n", "OK\r\nX-Server-Load: queue=NaN\r\n");
    private static final String REJECTION =
            "{\"error\":{\"type\":\"invalid_request_error\",\"message\":\"too long\",\"param\":\"input\"}}";
    private static final int INTERIM_RESPONSES = 3;
    private static final int STEPS = 20;
    private static final int LONG_EVENTS = 400;
    private static final int LONG_EVENT_CHARACTERS = 8000;
    private static final int ENDLESS_HEADER_LINES = 5000;
    private static final int FAILING_EVENT_INDEX = 5;
    private static final int OPENING_BRACKETS = 2000;
    private static final int TRICKLED_CHARACTERS = 2000;
    private static final int TRICKLED_PIECE_CHARACTERS = 200;
    private static final double STEADY_EVENT_SECONDS = 0.2;
    /** A whole trickled event takes longer than an engine may be silent. */
    private static final double TRICKLE_PAUSE_SECONDS = 0.6;

    /** Matches the place between two events, so that each event keeps its closing empty line. */
    private static final String EVENT_BOUNDARY = "(?<=\n\n)";

    private final StubServer server;
    private final ReceivedRequest request;
    private final String body;
    private final InputStream in;
    private final OutputStream out;

    StubAnswer(StubServer server, ReceivedRequest request, InputStream in, OutputStream out) {
        this.server = server;
        this.request = request;
        this.body = request.body();
        this.in = in;
        this.out = out;
    }

    /** Returns one event of a chat completion stream. */
    static String delta(String text, String finishReason) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":"
                + finishReason + "}]}\n\n";
    }

    /** Writes the fault that the request's body asks for at this engine's role, or else a normal answer of the role. */
    boolean write() throws IOException {
        if (request.method().equals("DELETE")) {
            return writeHead("204 No Content");
        }
        if (!request.target().startsWith(server.knownPathPrefix)) {
            return writeHead("404 Unknown\r\nContent-Length: 2", "{}");
        }
        if (server.missingCacheFor.test(request.headers().get("X-Request-ID"))) {
            return writeHead("410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0");
        }
        if (requestsFault("hang")) {
            return awaitClose();
        }
        if (requestsFault("reset")) {
            return false;
        }
        if (requestsFault("busy") && server.requestCount("POST", body) == 1) {
            return writeHead("503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0");
        }
        if (requestsFault("error")) {
            return writeHead("500 Error\r\nContent-Length: 0");
        }
        if (requestsFault("reject")) {
            return writeHead("400 Bad\r\nContent-Length: " + REJECTION.length(), REJECTION);
        }
        return requestsFault("noise") || requestsFault("endless") ? writeMalformedHead() : writeNormalAnswer();
    }

    private boolean requestsFault(String fault) {
        return body.contains(fault + "-" + server.role.faultSuffix);
    }

    private boolean writeHead(String statusAndHeaders) throws IOException {
        return writeHead(statusAndHeaders, "");
    }

    private boolean writeHead(String statusAndHeaders, String content) throws IOException {
        RawHttp.write(out, "HTTP/1.1 " + statusAndHeaders + "\r\n\r\n" + content);
        return true;
    }

    private boolean writeMalformedHead() throws IOException {
        if (requestsFault("noise")) {
            RawHttp.write(out, "\u0001\u0002 noise\r\n\r\n");
            return awaitClose();
        }
        for (int line = 0; line < ENDLESS_HEADER_LINES; line++) {
            RawHttp.write(out, (line == 0 ? "HTTP/1.1 200 OK" : "X: y") + "\r\n");
        }
        return awaitClose();
    }

    private boolean writeNormalAnswer() throws IOException {
        if (server.role == StubServer.Role.PREFILL) {
            return writeHead("202 Read\r\nContent-Length: 19", "{\"cached_tokens\":4}");
        }
        if (body.contains("[reply ")) {
            return replay(body.replaceAll("(?s).*\\[reply ([a-z-]+)].*", "$1"));
        }
        if (body.contains("incomplete ")) {
            return writeIncompleteStream();
        }
        return request.target().startsWith("/v1/responses") ? writeTypedEvents() : writeChatStream();
    }

    /**
     * Ends a stream without its closing event, in chunks up to the last one or, with {@code sized}, by the length in
     * the head. Then waits for the gateway to close the connection.
     */
    private boolean writeIncompleteStream() throws IOException {
        String events = incompleteEvents();
        if (body.contains("sized")) {
            RawHttp.write(out, STREAM_HEAD.replace("Transfer-Encoding: chunked", "Content-Length: " + events.length()));
            RawHttp.write(out, events);
            return awaitClose();
        }
        RawHttp.write(out, STREAM_HEAD);
        if (!events.isEmpty()) {
            RawHttp.writeChunk(out, events);
        }
        RawHttp.writeLastChunk(out);
        return awaitClose();
    }

    private String incompleteEvents() {
        if (body.contains("before its first event")) {
            return "";
        }
        String events = delta("one", "null");
        if (body.contains("after its error")) {
            events += "data: {\"error\":{\"message\":\"inner host\",\"type\":\"server_error\"}}\n\n";
        }
        if (body.contains("after its finish reason") || body.contains("after its usage")) {
            events += delta(" two", "\"stop\"");
        }
        if (body.contains("after its usage")) {
            events += "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";
        }
        return body.contains("within an event") ? events + "data: {\"choices\":[]}" : events;
    }

    private boolean writeChatStream() throws IOException {
        for (int i = 0; body.contains("interim") && i < INTERIM_RESPONSES; i++) {
            writeHead("103 Early\r\nX: y");
        }
        RawHttp.write(out, LOAD_REPORT_STREAM_HEAD);
        if (body.contains("spoilt opening")) {
            RawHttp.writeChunk(out, "\u0001\u0002 noise\n\n");
            return awaitClose();
        }
        if (body.contains("spoilt nesting")) {
            RawHttp.writeChunk(out, "data: {\"a\":" + "[".repeat(OPENING_BRACKETS) + "\n\n");
            return awaitClose();
        }
        RawHttp.writeChunk(out, delta("one", "null"));
        if (body.contains("spoilt ")) {
            RawHttp.write(out, malformedChunk());
            return awaitClose();
        }
        if (body.contains("pause")) {
            return awaitClose();
        }
        writeMiddleEvents();
        RawHttp.writeChunk(out, delta(" two", "\"stop\""));
        return !body.contains("cut") && writeStreamEnd();
    }

    private String malformedChunk() {
        if (body.contains("size")) {
            return "zz\r\n";
        }
        if (body.contains("huge")) {
            return "C0000000\r\ndata: {}\n\n";
        }
        return body.contains("fit") ? "5\r\n" + delta("two", "null") : "";
    }

    private void writeMiddleEvents() throws IOException {
        while (body.contains("steady") && !server.isClosed()) {
            SoakFaults.sleep(STEADY_EVENT_SECONDS);
            RawHttp.writeChunk(out, delta("more", "null"));
        }
        if (body.contains("trickled")) {
            writeSlowly(delta("x".repeat(TRICKLED_CHARACTERS), "null"));
        }
        if (body.contains("cut later")) {
            // If the break came together with the first event, the gateway could see the break first.
            Await.until(() -> server.firstEventReceived || server.isClosed());
        }
        for (int i = 1; body.contains("in steps") && i < STEPS; i++) {
            int step = i;
            Await.until(() -> server.eventsReceived >= step || server.isClosed());
            RawHttp.writeChunk(out, delta("step " + step, "null"));
        }
        for (int i = 0; body.contains("long") && i < LONG_EVENTS; i++) {
            RawHttp.writeChunk(out, delta("x".repeat(LONG_EVENT_CHARACTERS), "null"));
        }
    }

    private boolean writeStreamEnd() throws IOException {
        RawHttp.writeChunk(
                out,
                "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
                        + (body.contains("unclosed") ? "" : "data: [DONE]\n\n"));
        String stale = delta("stale", "null");
        // Written together with the last chunk, so that the gateway may read both at once.
        RawHttp.write(
                out,
                "0\r\n\r\n"
                        + (body.contains("twice")
                                ? "HTTP/1.1 200 OK\r\nContent-Length: " + stale.length() + "\r\n\r\n" + stale
                                : ""));
        return true;
    }

    /**
     * Writes one event in pieces, each a chunk, with pauses that are shorter than those of an engine that is silent.
     */
    private void writeSlowly(String event) throws IOException {
        for (int start = 0; start < event.length(); start += TRICKLED_PIECE_CHARACTERS) {
            SoakFaults.sleep(TRICKLE_PAUSE_SECONDS);
            RawHttp.writeChunk(
                    out, event.substring(start, Math.min(start + TRICKLED_PIECE_CHARACTERS, event.length())));
        }
    }

    /** Streams a recorded answer unchanged. */
    private boolean replay(String name) throws IOException {
        String recorded = resource("/conformance/" + name + ".sse");
        RawHttp.write(out, STREAM_HEAD);
        for (String event : recorded.split(EVENT_BOUNDARY)) {
            RawHttp.writeChunk(out, event);
        }
        RawHttp.writeLastChunk(out);
        return true;
    }

    /**
     * Streams a recorded answer in the responses format, which has items and typed events. With {@code broken after N}
     * in the request the connection is closed after N events, without the end of the stream; with {@code ended after N}
     * the last chunk follows them. With {@code failing} the answer ends with an event that reports a failure.
     */
    private boolean writeTypedEvents() throws IOException {
        RawHttp.write(out, STREAM_HEAD);
        String[] events = resource("/apiformat/text-responses.sse").split(EVENT_BOUNDARY);
        int written = body.matches("(?s).*(broken|ended) after \\d+.*")
                ? Integer.parseInt(body.replaceAll("(?s).*(?:broken|ended) after (\\d+).*", "$1"))
                : events.length;
        for (int i = 0; i < written; i++) {
            if (body.contains("failing") && i == FAILING_EVENT_INDEX) {
                RawHttp.writeChunk(
                        out,
                        "event: response.failed\ndata: {\"type\":\"response.failed\",\"response\":"
                                + "{\"status\":\"failed\",\"error\":{\"code\":\"server_error\",\"message\":"
                                + "\"inner host\"}}}\n\n");
                break;
            }
            RawHttp.writeChunk(out, events[i]);
        }
        if (written < events.length && body.contains("broken after")) {
            return false;
        }
        RawHttp.writeLastChunk(out);
        return true;
    }

    private static String resource(String name) throws IOException {
        try (InputStream file = StubAnswer.class.getResourceAsStream(name)) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Waits until the gateway abandons the attempt, by a close or a reset of the connection, and records that. */
    private boolean awaitClose() {
        try {
            server.abandonedRequests.add(in.read() < 0 ? body : "more");
        } catch (IOException e) {
            server.abandonedRequests.add(body);
        }
        return false;
    }
}

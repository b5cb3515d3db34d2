package dunlinladder.demo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ContentPart;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyEvent;
import dunlinladder.lifecycle.DemoConfiguration;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** A stub engine on loopback that prefills or decodes in one API format and reports the requests that it receives. */
final class DemoEngine implements AutoCloseable {

    private static final int STATUS_OK = 200;
    /** Status of a prefill engine's answer: the KV cache is held until it is fetched. */
    private static final int STATUS_PREFILLED = 202;

    private static final int STATUS_RELEASED = 204;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int PROMPT_TOKENS = 24;
    private static final int COMPLETION_TOKENS = 8;

    private final String name;
    private final Stage stage;
    private final ApiFormat format;
    private final Consumer<String> requestLog;
    private final HttpServer server;

    /** The stage of a request that an engine serves. */
    enum Stage {
        /** Processes the prompt and holds its KV cache. */
        PREFILL("reads", DemoConfiguration.PREFILL_KIND),
        /** Fetches the KV cache and streams the answer. */
        DECODE("writes", DemoConfiguration.DECODE_KIND);

        private final String verb;
        private final String kind;

        Stage(String verb, String kind) {
            this.verb = verb;
            this.kind = kind;
        }
    }

    /**
     * Starts the engine on a free port.
     *
     * @param requestLog receives one line for each request except releases; called by several threads
     */
    DemoEngine(String name, Stage stage, ApiFormat format, Consumer<String> requestLog) throws IOException {
        this.name = name;
        this.stage = stage;
        this.format = format;
        this.requestLog = requestLog;
        server = LoopbackServer.start(name, "/", this::serve);
    }

    /** Returns the engine's entry in discovery's list. */
    String discoveryEntry() {
        return DemoConfiguration.engineEntry(name, LoopbackServer.address(server), stage.kind);
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            if (exchange.getRequestMethod().equals("DELETE")) {
                exchange.sendResponseHeaders(STATUS_RELEASED, LoopbackServer.NO_BODY);
                return;
            }
            requestLog.accept(name + " (" + stage.verb + ", " + format.key() + ") got " + path + " " + body);
            if (!path.equals(format.path())) {
                exchange.sendResponseHeaders(STATUS_NOT_FOUND, LoopbackServer.NO_BODY);
            } else if (stage == Stage.PREFILL) {
                answerPrefill(exchange);
            } else {
                answerDecode(exchange);
            }
        }
    }

    private static void answerPrefill(HttpExchange exchange) throws IOException {
        byte[] answer = "{\"cached_tokens\":0}".getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(STATUS_PREFILLED, answer.length);
        exchange.getResponseBody().write(answer);
    }

    private void answerDecode(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(STATUS_OK, LoopbackServer.CHUNKED_BODY);
        streamReply(exchange.getResponseBody());
    }

    private void streamReply(OutputStream out) throws IOException {
        ReplyEncoder encoder = ReplyEncoder.of(format, new ReplyEncoder.Identity(name, name, 1, true, false, ""));
        for (ReplyEvent event : List.of(
                new ReplyEvent.Started(name, name, 1),
                new ReplyEvent.PartStarted(0, 0, ContentPart.Kind.TEXT, null, null),
                new ReplyEvent.PartDelta(0, 0, "Three copies ", null),
                new ReplyEvent.PartDelta(0, 0, "on the second shelf.", null),
                new ReplyEvent.PartFinished(0, 0),
                new ReplyEvent.ChoiceFinished(0, ReplyEvent.Reason.STOP, null),
                new ReplyEvent.Usage(PROMPT_TOKENS, 0, COMPLETION_TOKENS, -1),
                new ReplyEvent.Completed())) {
            out.write(encoder.encode(event).getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}

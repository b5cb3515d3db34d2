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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** A model server on loopback that reads or writes in one format and tells what it saw. */
final class DemoEngine implements AutoCloseable {

    private final String name;
    private final boolean reads;
    private final ApiFormat format;
    private final Consumer<String> saw;
    private final HttpServer server;

    DemoEngine(String name, boolean reads, ApiFormat format, Consumer<String> saw) throws IOException {
        this.name = name;
        this.reads = reads;
        this.format = format;
        this.saw = saw;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    /** Its entry in discovery's list. */
    String listed() {
        return DemoConfiguration.host(name, "127.0.0.1:" + server.getAddress().getPort(), reads ? "reader" : "writer");
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            if (exchange.getRequestMethod().equals("DELETE")) {
                exchange.sendResponseHeaders(204, -1);
                return;
            }
            saw.accept(name + " (" + (reads ? "reads" : "writes") + ", " + format.key() + ") got " + path + " " + body);
            if (!path.equals(format.path())) {
                exchange.sendResponseHeaders(404, -1);
            } else if (reads) {
                byte[] read = "{\"cached_tokens\":0}".getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(202, read.length);
                exchange.getResponseBody().write(read);
            } else {
                exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
                exchange.sendResponseHeaders(200, 0);
                write(exchange.getResponseBody());
            }
        }
    }

    private void write(OutputStream out) throws IOException {
        ReplyEncoder writer = ReplyEncoder.of(format, new ReplyEncoder.Identity(name, name, 1, true, false, ""));
        for (ReplyEvent event : List.of(
                new ReplyEvent.Started(name, name, 1),
                new ReplyEvent.PartStarted(0, 0, ContentPart.Kind.TEXT, null, null),
                new ReplyEvent.PartDelta(0, 0, "Three copies ", null),
                new ReplyEvent.PartDelta(0, 0, "on the second shelf.", null),
                new ReplyEvent.PartFinished(0, 0),
                new ReplyEvent.ChoiceFinished(0, ReplyEvent.Reason.STOP, null),
                new ReplyEvent.Usage(24, 0, 8, -1),
                new ReplyEvent.Completed())) {
            out.write(writer.encode(event).getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}

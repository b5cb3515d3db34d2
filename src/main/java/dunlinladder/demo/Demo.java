package dunlinladder.demo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.lifecycle.DemoConfiguration;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Demonstrates the program without a deployment: stub discovery and stub engines of two generations run on loopback,
 * the real gateway runs in its own process, clients of three API formats send requests, and everything that each side
 * received is printed.
 */
public final class Demo {

    private static final int STATUS_OK = 200;
    private static final long HEARTBEAT_MILLIS = 2000;

    private final PrintStream out;
    /** Requests that the engines have received since the last client request; added by the threads of the engines. */
    private final BlockingQueue<String> engineLog = new LinkedBlockingQueue<>();

    private final HttpClient http = HttpClient.newHttpClient();

    /** A request that a client of the demonstration sends. */
    private record ClientRequest(String title, String path, String body) {}

    private static final List<ClientRequest> CLIENT_REQUESTS = List.of(
            new ClientRequest(
                    "A client of the legacy completions API looks up a title",
                    "/v1/completions",
                    "{\"model\":\"shelf-lookup\",\"prompt\":\"Do we have Emma?\",\"max_tokens\":40}"),
            new ClientRequest(
                    "A client of the chat completions API requests a listing as a stream",
                    "/v1/chat/completions",
                    "{\"model\":\"shelf-listing\",\"stream\":true,\"messages\":[{\"role\":\"user\","
                            + "\"content\":\"List Emma, 1816, worn.\"}]}"),
            new ClientRequest(
                    "A client of the messages API looks up a title",
                    "/v1/messages",
                    "{\"model\":\"shelf-lookup\",\"max_tokens\":40,\"top_k\":5,\"system\":\"Be brief.\","
                            + "\"messages\":[{\"role\":\"user\",\"content\":\"Do we have Emma?\"}]}"),
            new ClientRequest(
                    "A request with a field that no engine's format supports is rejected; the error names the field",
                    "/v1/completions",
                    "{\"model\":\"shelf-lookup\",\"prompt\":\"Do we have\",\"suffix\":\"?\"}"));

    private Demo(PrintStream out) {
        this.out = out;
    }

    /** Runs the demonstration. Exits with 1 if the gateway does not start. */
    public static void main(String[] args) throws IOException, InterruptedException {
        new Demo(System.out).run();
    }

    private void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("dunlinladder-demo");
        try (DemoEngine oldPrefill = engine("old-reader", DemoEngine.Stage.PREFILL, ApiFormat.CHAT);
                DemoEngine oldDecode = engine("old-writer", DemoEngine.Stage.DECODE, ApiFormat.CHAT);
                DemoEngine newPrefill = engine("new-reader", DemoEngine.Stage.PREFILL, ApiFormat.RESPONSES);
                DemoEngine newDecode = engine("new-writer", DemoEngine.Stage.DECODE, ApiFormat.RESPONSES)) {
            HttpServer discovery = startDiscovery(List.of(oldPrefill, oldDecode, newPrefill, newDecode));
            try (DemoGateway gateway = new DemoGateway(folder, LoopbackServer.address(discovery))) {
                int port = gateway.awaitChatPort();
                for (ClientRequest clientRequest : CLIENT_REQUESTS) {
                    sendAndPrint(port, clientRequest);
                }
            } finally {
                discovery.stop(0);
            }
        } finally {
            DemoGateway.deleteFiles(folder);
            Files.deleteIfExists(folder);
        }
    }

    private DemoEngine engine(String name, DemoEngine.Stage stage, ApiFormat format) throws IOException {
        return new DemoEngine(name, stage, format, engineLog::add);
    }

    private static HttpServer startDiscovery(List<DemoEngine> engines) throws IOException {
        String list = DemoConfiguration.engineList(
                engines.stream().map(DemoEngine::discoveryEntry).toList());
        return LoopbackServer.start("discovery", "/discovery/hosts", exchange -> serveWatch(exchange, list));
    }

    /** Sends the list and then only heartbeats, as discovery does while nothing changes. */
    private static void serveWatch(HttpExchange exchange, String list) throws IOException {
        exchange.sendResponseHeaders(STATUS_OK, LoopbackServer.CHUNKED_BODY);
        try (exchange;
                OutputStream body = exchange.getResponseBody()) {
            body.write(list.getBytes(StandardCharsets.UTF_8));
            while (true) {
                body.flush();
                Thread.sleep(HEARTBEAT_MILLIS);
                body.write('\n');
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request, and prints the request, the requests that the engines received, and the response. */
    private void sendAndPrint(int port, ClientRequest clientRequest) throws IOException, InterruptedException {
        engineLog.clear();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + clientRequest.path))
                .header("Authorization", "Bearer " + DemoGateway.CLIENT_KEY)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(clientRequest.body))
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        out.println("== " + clientRequest.title);
        out.println("client sent     " + clientRequest.path + " " + clientRequest.body);
        engineLog.forEach(line -> out.println("engine          " + line));
        answer.headers()
                .firstValue("X-Translation-Warnings")
                .ifPresent(warning -> out.println("client warning  " + warning));
        out.println("client got      " + answer.statusCode());
        answer.body().lines().filter(line -> !line.isBlank()).forEach(line -> out.println("  " + line));
        out.println();
    }
}

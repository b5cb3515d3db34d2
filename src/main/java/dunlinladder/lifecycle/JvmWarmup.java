package dunlinladder.lifecycle;

import com.sun.net.httpserver.HttpServer;
import dunlinladder.transport.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;

/**
 * Sends requests through a gateway to stub engines in the same process. The build stores the classes that are loaded in
 * the process in an archive (see {@code deploy/archive.sh}), so that a gateway that starts on a fraction of a core has
 * them available at once.
 */
public final class JvmWarmup {

    private static final int REQUEST_COUNT = 40;
    private static final int SESSION_COUNT = 5;
    private static final int BACKLOG = 50;
    private static final int STATUS_OK = 200;
    /** Status of a prefill engine's answer: the KV cache is held until it is fetched. */
    private static final int STATUS_PREFILLED = 202;
    /** Response length with which the stubs' HTTP server sends a chunked body. */
    private static final long CHUNKED = 0;

    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String PREFILL_ANSWER = "{\"cached_tokens\":4}";
    private static final String DECODE_ANSWER = """
            data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]}

            data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}

            data: [DONE]

            : X-Server-Load: latency_ms=1.0,x0=0.5,x1=1.0

            """;

    private JvmWarmup() {}

    /** Sends the requests. Exits with 0 if more than half of them were served, else with 1. */
    public static void main(String[] args) throws IOException, InterruptedException {
        HttpServer prefillEngine = startEngine(PREFILL_ANSWER, STATUS_PREFILLED);
        HttpServer decodeEngine = startEngine(DECODE_ANSWER, STATUS_OK);
        String engines = DemoConfiguration.engineList(List.of(
                DemoConfiguration.engineEntry("reader", address(prefillEngine), DemoConfiguration.PREFILL_KIND),
                DemoConfiguration.engineEntry("writer", address(decodeEngine), DemoConfiguration.DECODE_KIND)));
        serveDiscovery(prefillEngine, engines);
        Gateway gateway = new Gateway(configuration(address(prefillEngine), engines), Optional.empty());
        int port = gateway.start();
        int served = 0;
        for (int requestNumber = 0; requestNumber < REQUEST_COUNT; requestNumber++) {
            if (sendRequest(port, requestNumber)) {
                served++;
            }
        }
        System.exit(served > REQUEST_COUNT / 2 ? 0 : 1);
    }

    private static GatewayConfig configuration(String discovery, String engines) {
        String json = "{\"name\":\"warm\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\",\"settings\":"
                + DemoConfiguration.SETTINGS.replace("\n", "") + ",\"known\":" + engines.trim() + "}";
        return GatewayConfigReader.read(JsonObject.parse(json), Map.of());
    }

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static HttpServer startEngine(String answer, int status) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool());
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        server.createContext(COMPLETIONS_PATH, exchange -> {
            try (exchange) {
                exchange.getRequestBody().readAllBytes();
                exchange.sendResponseHeaders(status, status == STATUS_OK ? CHUNKED : bytes.length);
                exchange.getResponseBody().write(bytes);
            }
        });
        server.start();
        return server;
    }

    /** Adds stub discovery to a server: it sends the list of engines and leaves the watch open. */
    private static void serveDiscovery(HttpServer server, String engines) {
        server.createContext("/discovery/hosts", exchange -> {
            exchange.sendResponseHeaders(STATUS_OK, CHUNKED);
            exchange.getResponseBody().write(engines.getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        });
    }

    /** Sends one request to the gateway, reads its answer and returns whether its status was 200. */
    private static boolean sendRequest(int port, int requestNumber) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://127.0.0.1:" + port + COMPLETIONS_PATH).openConnection();
        connection.setRequestMethod("POST");
        connection.setDoOutput(true);
        headers(requestNumber).forEach(connection::setRequestProperty);
        try (OutputStream body = connection.getOutputStream()) {
            body.write("{}".getBytes(StandardCharsets.UTF_8));
        }
        boolean served = connection.getResponseCode() == STATUS_OK;
        try (InputStream answer = served ? connection.getInputStream() : connection.getErrorStream()) {
            if (answer != null) {
                answer.readAllBytes();
            }
        }
        return served;
    }

    /** Returns the headers of a request. Requests alternate between both classes and rotate through a few sessions. */
    private static Map<String, String> headers(int requestNumber) {
        boolean repeatable = requestNumber % 2 == 0;
        return Map.of(
                "X-Request-ID",
                "warm-" + requestNumber,
                "X-Priority-Class",
                repeatable ? DemoConfiguration.REPEATABLE_CLASS : DemoConfiguration.ONCE_CLASS,
                "X-Tenant-Id",
                DemoConfiguration.TENANT,
                "X-Route-Key",
                "k" + requestNumber % SESSION_COUNT,
                "X-Timeout",
                "4.0",
                "X-Attrs",
                "prefix=5c0f,prompt_len=120,prefix_len=20,max_out=80");
    }
}

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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;

/**
 * Goes once through what a gateway does for each request, against stand-ins in the same process, so that the build can
 * keep the classes that takes in an archive: a gateway that starts on a part of a core has loaded them at once.
 */
public final class JvmWarmup {

    private static final int ROUNDS = 40;

    private static final String ANSWER = """
            data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]}

            data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}

            data: [DONE]

            : X-Server-Load: latency_ms=1.0,x0=0.5,x1=1.0

            """;

    private JvmWarmup() {}

    /** Runs the rounds and exits with 0; with 1 where most of them were not served. */
    public static void main(String[] args) throws IOException, InterruptedException {
        HttpServer reader = server("{\"cached_tokens\":4}", 202);
        HttpServer writer = server(ANSWER, 200);
        String at = "127.0.0.1:" + reader.getAddress().getPort();
        String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + DemoConfiguration.host("reader", at, "reader") + ","
                + DemoConfiguration.host(
                        "writer", "127.0.0.1:" + writer.getAddress().getPort(), "writer") + "]}\n";
        reader.createContext("/discovery/hosts", exchange -> {
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().write(list.getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        });
        Gateway gateway = new Gateway(
                GatewayConfigReader.read(
                        JsonObject.parse("{\"name\":\"warm\",\"listen\":\"127.0.0.1:0\","
                                + "\"discovery\":\"" + at + "\",\"settings\":"
                                + DemoConfiguration.SETTINGS.replace("\n", "")
                                + ",\"known\":"
                                + list.trim() + "}"),
                        Map.of()),
                Optional.empty());
        int port = gateway.start();
        int served = 0;
        for (int i = 0; i < ROUNDS; i++) {
            served += ask(port, i) ? 1 : 0;
        }
        System.exit(served > ROUNDS / 2 ? 0 : 1);
    }

    private static HttpServer server(String answer, int status) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        server.createContext("/v1/chat/completions", exchange -> {
            try (exchange) {
                exchange.getRequestBody().readAllBytes();
                exchange.sendResponseHeaders(status, status == 200 ? 0 : bytes.length);
                exchange.getResponseBody().write(bytes);
            }
        });
        server.start();
        return server;
    }

    private static boolean ask(int port, int round) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://127.0.0.1:" + port + "/v1/chat/completions").openConnection();
        connection.setRequestMethod("POST");
        connection.setDoOutput(true);
        Map.of(
                        "X-Request-ID",
                        "warm-" + round,
                        "X-Priority-Class",
                        round % 2 == 0 ? "repeatable" : "once",
                        "X-Tenant-Id",
                        DemoConfiguration.TENANT,
                        "X-Route-Key",
                        "k" + round % 5,
                        "X-Timeout",
                        "4.0",
                        "X-Attrs",
                        "prefix=5c0f,prompt_len=120,prefix_len=20,max_out=80")
                .forEach(connection::setRequestProperty);
        try (OutputStream body = connection.getOutputStream()) {
            body.write("{}".getBytes(StandardCharsets.UTF_8));
        }
        boolean ok = connection.getResponseCode() == 200;
        try (InputStream answer = ok ? connection.getInputStream() : connection.getErrorStream()) {
            if (answer != null) {
                answer.readAllBytes();
            }
        }
        return ok;
    }
}

package dunlinladder.demo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.lifecycle.DemoConfiguration;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Collectors;

/**
 * Shows the program at work with nothing else at hand: discovery and engines of two generations stand in on loopback,
 * the real gateway is started before them, clients of three formats ask, and what each side saw is printed.
 */
public final class Demo {

    private static final String KEY = "demo";
    private static final String STATE = """
            {"serial":1,"settings":{"listen":"127.0.0.1:0","keys.DEMO_KEY.tenant":"tenant-a",
            "models.shelf-lookup.class":"repeatable","models.shelf-listing.class":"once",
            "generations.old.format":"chat","generations.old.ids":"old-.*",
            "generations.new.format":"responses","generations.new.ids":"new-.*"}}""";

    private final PrintStream out;
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final HttpClient http = HttpClient.newHttpClient();

    private Demo(PrintStream out) {
        this.out = out;
    }

    /** Runs the demonstration; exits with 1 where the gateway does not come up. */
    public static void main(String[] args) throws IOException, InterruptedException {
        new Demo(System.out).run();
    }

    private void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("dunlinladder-demo");
        try (DemoEngine oldReader = new DemoEngine("old-reader", true, ApiFormat.CHAT, seen::add);
                DemoEngine oldWriter = new DemoEngine("old-writer", false, ApiFormat.CHAT, seen::add);
                DemoEngine newReader = new DemoEngine("new-reader", true, ApiFormat.RESPONSES, seen::add);
                DemoEngine newWriter = new DemoEngine("new-writer", false, ApiFormat.RESPONSES, seen::add)) {
            HttpServer discovery = discovery(List.of(oldReader, oldWriter, newReader, newWriter));
            Process gateway = gateway(folder, discovery);
            try {
                ask(port(gateway));
            } finally {
                gateway.destroy();
                gateway.waitFor();
                discovery.stop(0);
            }
        } finally {
            for (String name : List.of("config.json", "applied.json")) {
                Files.deleteIfExists(folder.resolve(name));
            }
            Files.deleteIfExists(folder);
        }
    }

    private static HttpServer discovery(List<DemoEngine> engines) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
        }));
        String list = "{\"seq\":1,\"whole\":true,\"hosts\":["
                + engines.stream().map(DemoEngine::listed).collect(Collectors.joining(",")) + "]}\n";
        server.createContext("/discovery/hosts", exchange -> follow(exchange, list));
        server.start();
        return server;
    }

    /** Tells the list, then an empty line now and then, as discovery does while nothing changes. */
    private static void follow(HttpExchange exchange, String list) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        try (exchange;
                OutputStream body = exchange.getResponseBody()) {
            body.write(list.getBytes(StandardCharsets.UTF_8));
            while (true) {
                body.flush();
                Thread.sleep(2000);
                body.write('\n');
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Process gateway(Path folder, HttpServer discovery) throws IOException {
        String at = "127.0.0.1:" + discovery.getAddress().getPort();
        Path config = Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"demo\",\"seed\":\"1\","
                        + "\"discovery\":\"" + at + "\",\"listen\":\"127.0.0.1:0\",\"settings\":"
                        + DemoConfiguration.SETTINGS
                        + "}");
        Path state = Files.writeString(folder.resolve("applied.json"), STATE);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinladder.lifecycle.Main",
                "serve",
                "--state",
                state.toString());
        builder.environment()
                .putAll(Map.of(
                        "RELAY_CONFIG",
                        config.toString(),
                        "RELAY_LISTEN",
                        "127.0.0.1:0",
                        "RELAY_DISCOVERY",
                        at,
                        "DEMO_KEY",
                        KEY));
        return builder.redirectErrorStream(true).start();
    }

    /** Waits for the chat front's port in the gateway's log, which is read on in the background. */
    private int port(Process gateway) throws IOException {
        BufferedReader log =
                new BufferedReader(new InputStreamReader(gateway.getInputStream(), StandardCharsets.UTF_8));
        StringBuilder before = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            before.append(line).append('\n');
            if (line.contains(" front=chat ")) {
                Thread drain = new Thread(() -> skip(log), "log");
                drain.setDaemon(true);
                drain.start();
                return Integer.parseInt(line.substring(line.lastIndexOf("port=") + 5));
            }
        }
        throw new IOException("the gateway did not come up:\n" + before);
    }

    /** Reads on, so that the gateway never waits for its log to be taken. */
    private static void skip(BufferedReader log) {
        try {
            while (log.readLine() != null) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // The gateway has ended.
        }
    }

    private void ask(int port) throws IOException, InterruptedException {
        show(
                port,
                "An old counter program of the legacy text API asks for a title",
                "/v1/completions",
                "{\"model\":\"shelf-lookup\",\"prompt\":\"Do we have Emma?\",\"max_tokens\":40}");
        show(
                port,
                "A shop's website asks for a listing, streamed",
                "/v1/chat/completions",
                "{\"model\":\"shelf-listing\",\"stream\":true,\"messages\":[{\"role\":\"user\","
                        + "\"content\":\"List Emma, 1816, worn.\"}]}");
        show(
                port,
                "A client of content blocks asks",
                "/v1/messages",
                "{\"model\":\"shelf-lookup\",\"max_tokens\":40,\"top_k\":5,\"system\":\"Be brief.\","
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"Do we have Emma?\"}]}");
        show(
                port,
                "A field that no engine's format has is refused by its name",
                "/v1/completions",
                "{\"model\":\"shelf-lookup\",\"prompt\":\"Do we have\",\"suffix\":\"?\"}");
    }

    private void show(int port, String what, String path, String body) throws IOException, InterruptedException {
        seen.clear();
        HttpResponse<String> answer = http.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .header("Authorization", "Bearer " + KEY)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        out.println("== " + what);
        out.println("client sent     " + path + " " + body);
        seen.forEach(line -> out.println("engine          " + line));
        answer.headers()
                .firstValue("X-Translation-Warnings")
                .ifPresent(warning -> out.println("client is told  " + warning));
        out.println("client got      " + answer.statusCode());
        answer.body().lines().filter(line -> !line.isBlank()).forEach(line -> out.println("  " + line));
        out.println();
    }
}

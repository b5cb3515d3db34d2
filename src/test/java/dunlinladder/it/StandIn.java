package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/**
 * A server on loopback that stands in for an engine or for discovery. What an engine's answer is like goes by a word in
 * the request's body.
 */
final class StandIn implements AutoCloseable {

    /** One request as it came. */
    record Seen(String method, String target, Map<String, String> headers, String body, long at) {}

    final List<Seen> seen = new CopyOnWriteArrayList<>();
    /** How many exchanges found their gateway's side closed. */
    final List<String> abandoned = new CopyOnWriteArrayList<>();

    volatile boolean firstSeen;
    /** How many events of a stream "in steps" the client has seen: the next one is written then. */
    volatile int eventsSeen;
    /** Whether discovery takes calls and says nothing. */
    volatile boolean silent;
    /** What the paths that it knows begin with. */
    volatile String speaks = "/v1/";

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final String role;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "Transfer-Encoding: chunked\r\n\r\n";
    private final List<String> news = new CopyOnWriteArrayList<>();

    StandIn(String role) throws IOException {
        this.role = role;
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The other side has gone, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Tells all who watch, as discovery does. */
    void tell(String message) {
        news.add(message);
    }

    void dropConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    long count(String method, String word) {
        return seen.stream()
                .filter(s -> s.method.equals(method) && (s.body + s.target).contains(word))
                .count();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            boolean fresh = true;
            for (String first = SimulatorCodec.line(in); first != null; first = SimulatorCodec.line(in)) {
                Map<String, String> headers = SimulatorCodec.headers(in);
                String body = new String(
                        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))),
                        StandardCharsets.UTF_8);
                String[] words = first.split(" ");
                if (body.contains("stale") && !fresh) {
                    return;
                }
                fresh = false;
                seen.add(new Seen(words[0], words[1], headers, body, System.nanoTime()));
                if (role.equals("discovery")) {
                    watch(out, Long.parseLong(words[1].replaceAll(".*since=", "")));
                } else if (words[0].equals("DELETE")) {
                    send(out, "HTTP/1.1 204 No Content\r\n\r\n");
                } else if (!words[1].startsWith(speaks)) {
                    send(out, "HTTP/1.1 404 Unknown\r\nContent-Length: 2\r\n\r\n{}");
                } else if (body.contains("hang-" + role)) {
                    awaitClose(in, body);
                    return;
                } else if (body.contains("reset-" + role)) {
                    return;
                } else if (body.contains("busy-" + role) && count("POST", body) == 1) {
                    send(out, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
                } else if (body.contains("error-" + role)) {
                    send(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
                } else if (body.contains("reject-" + role)) {
                    String error = "{\"error\":{\"type\":\"invalid_request_error\",\"message\":\"too long\","
                            + "\"param\":\"input\"}}";
                    send(out, "HTTP/1.1 400 Bad\r\nContent-Length: " + error.length() + "\r\n\r\n" + error);
                } else if (body.contains("noise-" + role)) {
                    send(out, "\u0001\u0002 noise\r\n\r\n");
                    awaitClose(in, body);
                    return;
                } else if (body.contains("endless-" + role)) {
                    for (int i = 0; i < 5000; i++) {
                        send(out, (i == 0 ? "HTTP/1.1 200 OK" : "X: y") + "\r\n");
                    }
                    awaitClose(in, body);
                    return;
                } else if (role.equals("reader")) {
                    send(out, "HTTP/1.1 202 Read\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}");
                } else if (body.contains("[reply ")) {
                    replay(out, body.replaceAll("(?s).*\\[reply ([a-z-]+)].*", "$1"));
                } else if (words[1].startsWith("/v1/responses") ? !typedEvents(out, body) : !stream(in, out, body)) {
                    return;
                }
            }
        }
    }

    /** Streams an answer; false when the connection is to be closed. */
    private boolean stream(InputStream in, OutputStream out, String body) throws IOException {
        for (int i = 0; body.contains("interim") && i < 3; i++) {
            send(out, "HTTP/1.1 103 Early\r\nX: y\r\n\r\n");
        }
        send(
                out,
                "HTTP/1.1 200 OK\r\nX-Server-Load: queue=NaN\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        if (body.contains("spoilt opening")) {
            chunk(out, "\u0001\u0002 noise\n\n");
            awaitClose(in, body);
            return false;
        }
        chunk(out, delta("one", "null"));
        if (body.contains("spoilt ")) {
            send(
                    out,
                    body.contains("size")
                            ? "zz\r\n"
                            : body.contains("huge")
                                    ? "C0000000\r\n" + "data: {}\n\n"
                                    : body.contains("fit") ? "5\r\n" + delta("two", "null") : "");
            awaitClose(in, body);
            return false;
        }
        if (body.contains("pause")) {
            awaitClose(in, body);
            return false;
        }
        // A break that comes together with the first event may be seen before it.
        while (body.contains("cut later") && !firstSeen) {
            Thread.yield();
        }
        for (int i = 1; body.contains("in steps") && i < 20; i++) {
            while (eventsSeen < i) {
                Thread.yield();
            }
            chunk(out, delta("step " + i, "null"));
        }
        for (int i = 0; body.contains("long") && i < 400; i++) {
            chunk(out, delta("x".repeat(8000), "null"));
        }
        chunk(out, delta(" two", "\"stop\""));
        if (body.contains("cut")) {
            return false;
        }
        chunk(
                out,
                "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
                        + (body.contains("unclosed") ? "" : "data: [DONE]\n\n"));
        send(
                out,
                "0\r\n\r\n"
                        + (body.contains("twice")
                                ? "HTTP/1.1 200 OK\r\nContent-Length: "
                                        + delta("stale", "null").length() + "\r\n\r\n" + delta("stale", "null")
                                : ""));
        return true;
    }

    /** Streams a recorded answer as it stands. */
    private static void replay(OutputStream out, String name) throws IOException {
        try (InputStream file = StandIn.class.getResourceAsStream("/conformance/" + name + ".sse")) {
            send(out, STREAM);
            for (String event : new String(file.readAllBytes(), StandardCharsets.UTF_8).split("(?<=\n\n)")) {
                chunk(out, event);
            }
            send(out, "0\r\n\r\n");
        }
    }

    /**
     * Streams a recorded answer in the format of items and typed events; {@code broken after N} in the request ends it
     * there, {@code failing} has it fail in its midst. False when the connection is to be closed.
     */
    private static boolean typedEvents(OutputStream out, String body) throws IOException {
        String recorded;
        try (InputStream file = StandIn.class.getResourceAsStream("/apiformat/text-responses.sse")) {
            recorded = new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
        send(out, STREAM);
        String[] events = recorded.split("(?<=\n\n)");
        int broken = body.matches("(?s).*broken after \\d+.*")
                ? Integer.parseInt(body.replaceAll("(?s).*broken after (\\d+).*", "$1"))
                : events.length;
        for (int i = 0; i < broken; i++) {
            if (body.contains("failing") && i == 5) {
                chunk(
                        out,
                        "event: response.failed\ndata: {\"type\":\"response.failed\",\"response\":"
                                + "{\"status\":\"failed\",\"error\":{\"code\":\"server_error\",\"message\":"
                                + "\"inner host\"}}}\n\n");
                break;
            }
            chunk(out, events[i]);
        }
        if (broken < events.length) {
            return false;
        }
        send(out, "0\r\n\r\n");
        return true;
    }

    /** A gateway gives an attempt up by a close or a reset. */
    private void awaitClose(InputStream in, String body) {
        try {
            abandoned.add(in.read() < 0 ? body : "more");
        } catch (IOException e) {
            abandoned.add(body);
        }
    }

    static String delta(String text, String reason) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":" + reason
                + "}]}\n\n";
    }

    private void watch(OutputStream out, long since) throws IOException, InterruptedException {
        while (silent) {
            Thread.sleep(1);
        }
        send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int looks = 0;
        for (int told = 0; ; Thread.sleep(1)) {
            if (++looks % 500 == 0) {
                // As long as nothing changes an empty line shows that discovery is there.
                chunk(out, "\n");
            }
            for (; told < news.size(); told++) {
                if (told + 2 > since) {
                    chunk(out, news.get(told) + "\n");
                }
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        send(out, Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Waits for a condition; a test that waits in vain is stopped by its time limit. */
    static void until(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.currentThread().isInterrupted()) {
                throw new IllegalStateException("waited in vain");
            }
            Thread.yield();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        dropConnections();
    }

    /** Reading HTTP by hand, so that a test sees every byte. */
    static final class SimulatorCodec {
        private SimulatorCodec() {}

        static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.append(b == '\r' ? "" : (char) b);
            }
            return line.toString();
        }

        static Map<String, String> headers(InputStream in) throws IOException {
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                headers.put(
                        line.substring(0, line.indexOf(':')),
                        line.substring(line.indexOf(':') + 1).trim());
            }
            return headers;
        }
    }

    /** A client's connection. */
    static final class Browser implements AutoCloseable {
        final Socket socket;
        int status;
        Map<String, String> headers = Map.of();

        Browser(int port) {
            try {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        Browser send(String method, String target, String headers, String body) throws IOException {
            StandIn.send(
                    socket.getOutputStream(),
                    method + " " + target + " HTTP/1.1\r\nHost: x\r\n"
                            + headers
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            return this;
        }

        /** Reads the head; false when the connection ended first. */
        boolean head() throws IOException {
            String line = SimulatorCodec.line(socket.getInputStream());
            if (line == null) {
                return false;
            }
            status = Integer.parseInt(line.split(" ")[1]);
            headers = SimulatorCodec.headers(socket.getInputStream());
            return true;
        }

        /** Reads the whole body; ends with "(cut)" when the connection ended before the last chunk. */
        String body() throws IOException {
            InputStream in = socket.getInputStream();
            if (headers.containsKey("content-length")) {
                return new String(
                        in.readNBytes(Integer.parseInt(headers.get("content-length"))), StandardCharsets.UTF_8);
            }
            StringBuilder body = new StringBuilder();
            for (String size = SimulatorCodec.line(in); size != null; size = SimulatorCodec.line(in)) {
                body.append(new String(in.readNBytes(Integer.parseInt(size, 16)), StandardCharsets.UTF_8));
                SimulatorCodec.line(in);
                if (size.equals("0")) {
                    return body.toString();
                }
            }
            return body + "(cut)";
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}

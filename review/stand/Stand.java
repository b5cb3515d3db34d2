import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of the platform for the cases of the review: discovery, engines and clients, written from the protocol
 * page, and the processes of the gateways. All addresses are loopback addresses with free ports.
 */
final class Stand implements AutoCloseable {

    /** Settings of a small deployment, with the figures of the first one; a case replaces what it needs. */
    static final String SETTINGS = "{\"balancers\":1,\"caps\":{\"cancel\":true,\"connect-timeout\":0.25,"
            + "\"keepalive\":30.0,\"max-attempts\":4,\"max-retry-after\":0.5,\"retry-after\":false,"
            + "\"second-copies\":true},\"classes\":["
            + "{\"name\":\"lookup\",\"deadline\":4.0,\"objective\":0.8,\"semantics\":\"safe\",\"stream\":true,"
            + "\"worth\":1.0},"
            + "{\"name\":\"listing\",\"deadline\":10.0,\"objective\":2.0,\"semantics\":\"unsafe\",\"stream\":true,"
            + "\"worth\":3.0}],"
            + "\"family-info\":{\"aim-us-per-1000-prompt-tokens\":[60000.0,40000.0],"
            + "\"kv-tokens\":[180000,150000,240000],\"release-within\":0.5,"
            + "\"role-by-kind\":[\"read\",\"write\",\"both\"],\"token-aim\":[0.05,0.07]},"
            + "\"kinds\":[\"prompt\",\"answer\",\"mixed\"],\"membership-mode\":\"pushed\",\"zone\":0,"
            + "\"zones\":[\"a\",\"b\"],"
            + "\"projects\":[{\"name\":\"acme\",\"fraction\":1.0,\"quota-per-s\":100000.0}],"
            + "\"rules\":{\"answer-slack\":0.008,\"cold\":14.0,\"cold-from\":0.26,\"fall-multiple\":4.0,"
            + "\"stop-sending-within\":1.0,\"tip-after\":1.5}}";

    private static final long START = System.nanoTime();
    private static final int BACKLOG = 200;
    private static final double NANOS = 1e9;

    final Path folder = Files.createTempDirectory("review");
    final Discovery discovery = new Discovery();
    final List<Engine> engines = new CopyOnWriteArrayList<>();
    final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    /** The engine that holds the read state of a request, by the request's id. */
    final Map<String, Engine> states = new ConcurrentHashMap<>();
    private final PrintWriter record;

    Stand(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns the seconds since the start of the test. */
    static double now() {
        return (System.nanoTime() - START) / NANOS;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, (long) (seconds * 1000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(double time) {
        sleep(time - now());
    }

    synchronized void note(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values));
        record.flush();
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed the connection, or the test has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws IOException;
    }

    private void killAll() {
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Gateway gateway : gateways) {
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        discovery.listener.close();
        for (Engine engine : engines) {
            engine.listener.close();
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    // ---- HTTP ----

    static final class Head {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int octet = in.read(); octet != '\n'; octet = in.read()) {
            if (octet < 0) {
                return null;
            }
            if (octet != '\r') {
                line.write(octet);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a head; null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        head.line = readLine(in);
        if (head.line == null) {
            return null;
        }
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                return null;
            }
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return head;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        write(out, Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }

    // ---- Discovery ----

    /** Discovery: answers each watch with the whole list or the changes since its version, then writes each change. */
    final class Discovery {
        final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private final List<String> changes = new ArrayList<>();
        private int seq = 1;

        Discovery() throws IOException {
            Stand.start("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Stand.start("watch", () -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized String list() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
        }

        /** Adds an engine before the gateways start. */
        synchronized void add(Engine engine) {
            hosts.put(engine.name, engine.entry());
        }

        /** Tells the state of an engine to all watches. */
        synchronized void tell(Engine engine) {
            seq++;
            hosts.put(engine.name, engine.entry());
            if (engine.health.equals("left")) {
                hosts.remove(engine.name);
            }
            changes.add("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + engine.entry() + "]}");
            notifyAll();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                Head head = readHead(socket.getInputStream());
                if (head == null) {
                    return;
                }
                OutputStream out = socket.getOutputStream();
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                int since = Integer.parseInt(head.line.replaceAll(".*since=(\\d+).*", "$1"));
                int sent;
                String first;
                synchronized (this) {
                    sent = changes.size();
                    first = since > 0 && since <= seq
                            ? String.join("\n", changes.subList(Math.min(sent, since - 1), sent))
                            : list();
                }
                note("discovery: watch since=%d answered with version %d", since, seq);
                writeChunk(out, first + "\n");
                while (true) {
                    List<String> next;
                    synchronized (this) {
                        if (sent == changes.size()) {
                            try {
                                wait(2000);
                            } catch (InterruptedException e) {
                                return;
                            }
                        }
                        next = List.copyOf(changes.subList(sent, changes.size()));
                        sent = changes.size();
                    }
                    writeChunk(out, next.isEmpty() ? "\n" : String.join("\n", next) + "\n");
                    for (String change : next) {
                        note("discovery: told %s", change);
                    }
                }
            }
        }
    }

    // ---- Engines ----

    /** What an engine does with one request that has arrived in full, instead of its usual answer. */
    interface Behaviour {
        /** Returns whether the request was handled here; false for the usual answer. */
        boolean handle(Engine engine, Request request, Socket socket) throws IOException;
    }

    record Request(String method, String target, String id, double timeout, String body) {}

    /** An engine: a reader ("prompt"), a writer ("answer") or both ("mixed"). */
    final class Engine {
        final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        final String name;
        final String kind;
        final int block;
        volatile String health = "active";
        volatile Behaviour behaviour = (engine, request, socket) -> false;
        volatile double readSeconds = 0.02;
        volatile int events = 5;
        volatile double eventSeconds = 0.03;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        /** Ids of the requests that arrived here in full, in order. */
        final List<String> arrived = new CopyOnWriteArrayList<>();

        Engine(String name, String kind, int block) throws IOException {
            this.name = name;
            this.kind = kind;
            this.block = block;
            engines.add(this);
            discovery.add(this);
            Stand.start(name, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    Stand.start(name + "-connection", () -> serve(socket));
                }
            });
        }

        String entry() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"site\":\"a\","
                    + "\"class\":\"" + kind + "\",\"block\":" + block + ",\"health\":\"" + health
                    + "\",\"share\":1.0,\"born_ms\":0}";
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    String length = head.header("Content-Length");
                    String body = length == null
                            ? "" : new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.UTF_8);
                    String[] words = head.line.split(" ");
                    String id = words[0].equals("DELETE")
                            ? words[1].substring(words[1].lastIndexOf('/') + 1) : head.header("X-Request-ID");
                    String timeout = head.header("X-Timeout");
                    Request request = new Request(
                            words[0], words[1], id, timeout == null ? 0 : Double.parseDouble(timeout), body);
                    note("%s: arrived %s %s timeout=%s", name, words[0], id, timeout);
                    if (!words[0].equals("DELETE")) {
                        arrived.add(id);
                    }
                    if (!behaviour.handle(this, request, socket)) {
                        answer(request, socket.getOutputStream());
                    }
                    if (socket.isClosed()) {
                        return;
                    }
                }
            } finally {
                sockets.remove(socket);
            }
        }

        /** Answers as a sound engine does. */
        void answer(Request request, OutputStream out) throws IOException {
            if (request.method().equals("DELETE")) {
                states.remove(request.id());
                write(out, "HTTP/1.1 204 No Content\r\n\r\n");
            } else if (kind.equals("prompt")) {
                sleep(readSeconds);
                states.put(request.id(), this);
                write(out, "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}");
                note("%s: read %s", name, request.id());
            } else if (kind.equals("answer") && states.remove(request.id()) == null) {
                write(out, "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            } else {
                note("%s: runs %s", name, request.id());
                stream(request, out);
            }
        }

        void stream(Request request, OutputStream out) throws IOException {
            write(out, streamHead());
            for (int i = 0; i < events; i++) {
                writeChunk(out, event(request, i));
                sleep(eventSeconds);
            }
            writeChunk(out, streamEnd());
            write(out, "0\r\n\r\n");
            note("%s: answered %s to the end", name, request.id());
        }
    }

    static String streamHead() {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String event(Request request, int number) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + request.id() + "-" + number
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    static String streamEnd() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":120,\"completion_tokens\":5,"
                + "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n";
    }

    // ---- Gateways ----

    /** A gateway: the process that {@code run} of the deploy file starts, with its configuration. */
    final class Gateway {
        final String name;
        final int port;
        final Path config;
        final String settings;
        Process process;
        int memoryMb = 192;
        int sockets = 1024;

        Gateway(String name, String settings) throws IOException {
            this(name, settings, 192, 1024, freePort());
        }

        Gateway(String name, String settings, int memoryMb, int sockets, int port) throws IOException {
            this.name = name;
            this.settings = settings;
            this.memoryMb = memoryMb;
            this.sockets = sockets;
            this.port = port;
            config = folder.resolve(name + ".json");
            configure(discovery.address(), discovery.list());
            launch();
        }

        void configure(String discoveryAddress, String known) throws IOException {
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"" + discoveryAddress + "\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                    + "\"known\":" + known + ",\"settings\":" + settings + "}");
        }

        void launch() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run ")).findFirst().orElseThrow()
                    .replaceAll("^run *= *\"([^\"]*)\".*$", "$1");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_DISCOVERY", discovery.address());
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            gateways.add(this);
            note("%s: started as process %d at port %d", name, process.pid(), port);
        }

        /** Waits until the gateway answers GET /up with 200; returns false if it does not within 30 s. */
        boolean awaitUp() {
            double giveUp = now() + 30;
            while (now() < giveUp && process.isAlive()) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                    socket.setSoTimeout(1000);
                    write(socket.getOutputStream(), "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                    Head head = readHead(socket.getInputStream());
                    if (head != null && head.line.contains(" 200")) {
                        note("%s: up", name);
                        return true;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(0.05);
            }
            return false;
        }

        /** Sends SIGTERM to the program that {@code run} started. */
        void terminate() {
            note("%s: SIGTERM", name);
            process.destroy();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- Clients ----

    /** What a client saw: status 0 without an answer, whether the answer was complete, and when it ended. */
    record Answer(String id, int status, boolean complete, String body, double sentAt, double endedAt) {
        boolean isRefusal() {
            return status == 429 || status == 503;
        }
    }

    static String requestText(String id, String serviceClass, double timeout, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + serviceClass + "\r\nX-Tenant-Id: acme\r\nX-Route-Key: k" + id
                + "\r\nX-Timeout: " + String.format(Locale.ROOT, "%.3f", timeout)
                + "\r\nX-Attrs: prompt_len=120,prefix_len=0,max_out=80\r\nContent-Type: application/json"
                + "\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    static final String BODY = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"a question\"}]}";

    /** Sends a request on a new connection and waits for its answer, for {@code patience} seconds after the deadline. */
    Answer ask(int port, String id, String serviceClass, double timeout, double patience) {
        double sentAt = now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            write(socket.getOutputStream(), requestText(id, serviceClass, timeout, BODY));
            note("client: sent %s class=%s timeout=%.3f", id, serviceClass, timeout);
            socket.setSoTimeout((int) ((timeout + patience) * 1000));
            return readAnswer(id, sentAt, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            note("client: %s no connection: %s", id, e);
            return new Answer(id, 0, false, "", sentAt, now());
        }
    }

    Answer readAnswer(String id, double sentAt, InputStream in) {
        int status = 0;
        StringBuilder body = new StringBuilder();
        boolean complete = false;
        try {
            Head head = readHead(in);
            if (head != null) {
                status = Integer.parseInt(head.line.split(" ")[1]);
                note("client: %s status %d", id, status);
                if (head.header("Content-Length") != null) {
                    int length = Integer.parseInt(head.header("Content-Length"));
                    byte[] bytes = in.readNBytes(length);
                    body.append(new String(bytes, StandardCharsets.UTF_8));
                    complete = bytes.length == length;
                } else {
                    for (String size = readLine(in); size != null; size = readLine(in)) {
                        int length = Integer.parseInt(size, 16);
                        body.append(new String(in.readNBytes(length), StandardCharsets.UTF_8));
                        readLine(in);
                        if (length == 0) {
                            complete = true;
                            break;
                        }
                    }
                }
            }
        } catch (IOException e) {
            note("client: %s %s", id, e);
        }
        note("client: %s ended status=%d complete=%s", id, status, complete);
        return new Answer(id, status, complete, body.toString(), sentAt, now());
    }
}

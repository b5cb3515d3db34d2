package dunlinladder.it;

import dunlinladder.it.StandIn.Browser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/** The program as a process of its own, with a reader, two writers and discovery standing in round it. */
final class Running implements AutoCloseable {

    private static final AtomicLong IDS = new AtomicLong();
    /** Jars on the path of the tests that the program by itself would not have open. */
    private static final int JARS = 40;

    static final String SETTINGS = """
            {"balancers":1,"caps":{"cancel":true,"connect-timeout":0.25,"keepalive":30.0,"max-attempts":4,
            "max-retry-after":0.5,"retry-after":false},"classes":[
            {"name":"lookup","deadline":4.0,"objective":0.8,"semantics":"safe","stream":true,"worth":1.0},
            {"name":"listing","deadline":10.0,"objective":2.0,"semantics":"unsafe","stream":true,
            "worth":3.0}],
            "family-info":{"aim-us-per-1000-prompt-tokens":[60000.0,40000.0],"kv-tokens":[180000,150000,
            240000],
            "release-within":0.5,"role-by-kind":["read","write","both"],"token-aim":[0.05,0.07]},
            "kinds":["prompt","answer","mixed"],"membership-mode":"pushed","zone":0,"zones":["a","b"],
            "projects":[{"name":"acme","fraction":1.0,"quota-per-s":100000.0}],
            "rules":{"answer-slack":0.008,"cold":14.0,"cold-from":0.26,"fall-multiple":4.0,
            "stop-sending-within":1.0,"tip-after":1.5}}""";

    final StandIn reader;
    final List<StandIn> writers;
    /** Further engines and their kinds. */
    private final Map<StandIn, String> more;

    final StandIn discovery;
    /** Whose stand-ins these are; null where they are its own. */
    private final Running first;
    /** What the program has logged since it listens. */
    final List<String> lines = new CopyOnWriteArrayList<>();

    final Process process;
    private final Path config;
    private final int descriptors;
    final int port;
    final int chatPort;

    Running(Map<String, String> environment, Path state) throws IOException {
        this(environment, state, Map.of());
    }

    Running(Map<String, String> environment, Path state, Map<StandIn, String> more) throws IOException {
        this(environment, state, more, null, 1024);
    }

    /** A gateway that may have so many descriptors and cannot have more, but for what the tests' many jars take. */
    static Running withDescriptors(int most) throws IOException {
        return new Running(Map.of(), null, Map.of(), null, most);
    }

    /** One more gateway of the same deployment, before the same engines. */
    Running beside() throws IOException {
        return new Running(Map.of(), null, more, this, 1024);
    }

    private Running(
            Map<String, String> environment, Path state, Map<StandIn, String> more, Running first, int descriptors)
            throws IOException {
        this.more = more;
        this.descriptors = descriptors;
        this.first = first;
        reader = first == null ? new StandIn("reader") : first.reader;
        writers = first == null ? List.of(new StandIn("writer"), new StandIn("writer")) : first.writers;
        discovery = first == null ? new StandIn("discovery") : first.discovery;
        config = Files.createTempFile("gateway", ".json");
        configure(discovery.address(), SETTINGS);
        ProcessBuilder builder = new ProcessBuilder(List.of(
                "sh",
                "-c",
                "ulimit -n " + (descriptors + JARS) + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinladder.lifecycle.Main",
                "serve",
                "--state",
                String.valueOf(state)));
        builder.environment().putAll(environment);
        builder.environment()
                .putAll(Map.of(
                        "RELAY_LISTEN",
                        "127.0.0.1:0",
                        "RELAY_DISCOVERY",
                        discovery.address(),
                        "RELAY_CONFIG",
                        config.toString()));
        process = builder.redirectErrorStream(true).start();
        BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream()));
        port = portIn(log, " front=platform ");
        chatPort = state == null ? 0 : portIn(log, " front=chat ");
        Thread drain = new Thread(() -> log.lines().forEach(lines::add));
        drain.setDaemon(true);
        drain.start();
    }

    /** Replaces the configuration's file. */
    void configure(String discoveryAddress, String settings) throws IOException {
        Files.writeString(
                config,
                "{\"discovery\":\"" + discoveryAddress + "\","
                        + "\"name\":\"n0\",\"seed\":\"8c1f30d27a5be964\",\"known\":{\"seq\":1,"
                        + "\"whole\":true,\"hosts\":[" + host(reader, "prompt", "active") + ","
                        + host(writers.get(0), "answer", "active") + "," + host(writers.get(1), "answer", "active")
                        + more.entrySet().stream()
                                .map(e -> "," + host(e.getKey(), e.getValue(), "active"))
                                .collect(Collectors.joining())
                        + "]},\"limits\":{\"sockets\":" + descriptors + "},\"settings\":" + settings + "}");
    }

    /** Sends a signal to the program. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    private static int portIn(BufferedReader log, String mark) throws IOException {
        List<String> before = new ArrayList<>();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            before.add(line);
            if (line.contains(mark)) {
                return Integer.parseInt(line.substring(line.lastIndexOf("port=") + 5));
            }
        }
        throw new IOException("the program ended: " + before);
    }

    static String host(StandIn engine, String kind, String health) {
        return "{\"host\":\"" + engine.address() + "\",\"dial\":\"" + engine.address()
                + "\",\"site\":\"a\",\"class\":\"" + kind + "\",\"block\":1,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    long atWriters(String method, String word) {
        return writers.stream().mapToLong(w -> w.count(method, word)).sum();
    }

    long releases(String id) {
        return atWriters("DELETE", id) + reader.count("DELETE", id);
    }

    static String freshId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Sends a request in the platform's protocol. */
    Browser post(String id, String serviceClass, String timeout, String body) throws IOException {
        return new Browser(port).send("POST", "/v1/chat/completions?trace=1", headers(id, serviceClass, timeout), body);
    }

    static String headers(String id, String serviceClass, String timeout) {
        return "X-Request-ID: " + id + "\r\nX-Priority-Class: " + serviceClass + "\r\nX-Tenant-Id: acme\r\n"
                + "X-Route-Key: 7f3a\r\nX-Timeout: " + timeout + "\r\nContent-Type: application/json\r\n"
                + "X-Attrs: prefix=5c0f,prompt_len=120,prefix_len=20,max_out=80\r\n";
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        if (first != null) {
            return;
        }
        for (StandIn each : List.of(reader, writers.get(0), writers.get(1), discovery)) {
            each.close();
        }
        for (StandIn each : more.keySet()) {
            each.close();
        }
    }
}

package dunlinladder.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A gateway in its own process, with stubs of one prefill engine, two decode engines and discovery. This object owns
 * the process and, unless the gateway is a peer of another one, the stubs.
 */
final class RunningGateway implements AutoCloseable {

    private static final AtomicLong LAST_REQUEST_ID = new AtomicLong();
    /** Number of file descriptors for the jars on the tests' class path that the program itself does not need. */
    private static final int TEST_JAR_DESCRIPTORS = 40;

    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final int DEFAULT_MEMORY_MEGABYTES = 160;
    /** The stack size of threads that deploy/run.sh sets. */
    private static final String THREAD_STACK_OPTION = "-Xss256k";

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

    /** Settings in which the class listing is keyed: its requests may run again, but only in the same cell. */
    static final String KEYED_SETTINGS = SETTINGS.replace(
            "\"semantics\":\"unsafe\"", "\"semantics\":\"keyed\",\"group\":\"cell\",\"repeat-window\":5.0");

    final StubServer prefillEngine;
    final List<StubServer> decodeEngines;
    final StubServer discovery;
    /** Lines that the gateway has logged since it began to listen. */
    final List<String> logLines = new CopyOnWriteArrayList<>();

    final Process process;
    /** Port of the platform front. */
    final int port;
    /** Port of the chat front; 0 without an applied state, as there is no chat front then. */
    final int chatPort;

    /** Engines in addition to the three stubs, each with its kind. */
    private final Map<StubServer, String> additionalEngines;

    private final boolean ownsStubs;
    /** Addresses that the configuration lists as decode engines. */
    private final List<String> decodeAddresses;

    private final Path configuration;
    private final long enginesStartedMillis;
    private final int descriptorLimit;
    private final int memoryMegabytes;

    /** Options of a gateway. By default it has only the platform front, and its own engines. */
    static final class Builder {

        private final Map<String, String> environment = new HashMap<>();
        private Path appliedState;
        private Map<StubServer, String> additionalEngines = Map.of();
        private RunningGateway stubOwner;
        private int descriptorLimit = DEFAULT_DESCRIPTOR_LIMIT;
        private int memoryMegabytes = DEFAULT_MEMORY_MEGABYTES;
        private List<String> decodeAddresses = List.of();
        private String settings = SETTINGS;
        private long enginesStartedMillis;

        private Builder() {}

        /** Starts the gateway's process with these faults of the machine. */
        Builder machineFaults(MachineFaults faults) {
            environment.putAll(faults.environment());
            return this;
        }

        /** Lists these addresses as decode engines in the configuration, in place of the two stubs. */
        Builder decodeAddresses(List<String> addresses) {
            decodeAddresses = addresses;
            return this;
        }

        /** Sets the start time of all engines in the configuration, in milliseconds of Unix time. */
        Builder enginesStartedAt(long unixMillis) {
            enginesStartedMillis = unixMillis;
            return this;
        }

        /** Sets the settings in the configuration, a JSON object. */
        Builder settings(String text) {
            settings = text;
            return this;
        }

        /** Adds the chat front with this applied state. Its clients use the key "secret". */
        Builder chatFront(Path state) {
            appliedState = state;
            environment.put("CHAT_KEY", "secret");
            return this;
        }

        /** Lists these engines in the configuration too, each with its kind. */
        Builder additionalEngines(Map<StubServer, String> kinds) {
            additionalEngines = kinds;
            return this;
        }

        /**
         * Sets the limit of file descriptors in the configuration. The process itself is limited to this number plus
         * {@link #TEST_JAR_DESCRIPTORS}.
         */
        Builder descriptorLimit(int limit) {
            descriptorLimit = limit;
            return this;
        }

        /** Sets the memory in the configuration, in megabytes. The process itself is not limited to it. */
        Builder memoryMegabytes(int megabytes) {
            memoryMegabytes = megabytes;
            return this;
        }

        /** Starts the gateway and returns once it listens. */
        RunningGateway start() throws IOException {
            return new RunningGateway(this);
        }
    }

    static Builder builder() {
        return new Builder();
    }

    /** Starts another gateway of the same deployment, with the same engines and the same discovery. */
    RunningGateway startPeer() throws IOException {
        Builder peer = builder().additionalEngines(additionalEngines);
        peer.stubOwner = this;
        return peer.start();
    }

    private RunningGateway(Builder options) throws IOException {
        RunningGateway owner = options.stubOwner;
        ownsStubs = owner == null;
        prefillEngine = ownsStubs ? new StubServer(StubServer.Role.PREFILL) : owner.prefillEngine;
        decodeEngines = ownsStubs
                ? List.of(new StubServer(StubServer.Role.DECODE), new StubServer(StubServer.Role.DECODE))
                : owner.decodeEngines;
        discovery = ownsStubs ? new StubServer(StubServer.Role.DISCOVERY) : owner.discovery;
        additionalEngines = options.additionalEngines;
        decodeAddresses = options.decodeAddresses.isEmpty()
                ? decodeEngines.stream().map(StubServer::address).toList()
                : options.decodeAddresses;
        descriptorLimit = options.descriptorLimit;
        memoryMegabytes = options.memoryMegabytes;
        enginesStartedMillis = options.enginesStartedMillis;
        configuration = Files.createTempFile("gateway", ".json");
        writeConfiguration(discovery.address(), options.settings);
        process = startProcess(options);
        BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream()));
        port = awaitPort(log, " front=platform ");
        chatPort = options.appliedState == null ? 0 : awaitPort(log, " front=chat ");
        Thread logReader = new Thread(() -> collectLog(log));
        logReader.setDaemon(true);
        logReader.start();
    }

    private void collectLog(BufferedReader log) {
        try {
            log.lines().forEach(logLines::add);
        } catch (UncheckedIOException e) {
            // A gateway that is killed closes its output, sometimes during a read.
        }
    }

    /**
     * Starts the process. It gets SIGHUP even if the tests run under nohup: a JVM inherits ignored signals for good.
     */
    private Process startProcess(Builder options) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(List.of(
                "sh",
                "-c",
                "ulimit -n " + (descriptorLimit + TEST_JAR_DESCRIPTORS)
                        + " && exec env --default-signal=HUP \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                THREAD_STACK_OPTION,
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinladder.lifecycle.Main",
                "serve",
                "--state",
                String.valueOf(options.appliedState)));
        Map<String, String> environment = builder.environment();
        environment.putAll(options.environment);
        environment.put("RELAY_LISTEN", "127.0.0.1:0");
        environment.put("RELAY_DISCOVERY", discovery.address());
        environment.put("RELAY_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true).start();
    }

    /** Replaces the configuration file. Its endpoint list has all engines as active. */
    void writeConfiguration(String discoveryAddress, String settings) throws IOException {
        List<String> endpoints = new ArrayList<>();
        endpoints.add(endpoint(prefillEngine, "prompt", "active"));
        decodeAddresses.forEach(address -> endpoints.add(endpoint(address, "answer", "active")));
        additionalEngines.forEach((engine, kind) -> endpoints.add(endpoint(engine, kind, "active")));
        Files.writeString(
                configuration,
                "{\"discovery\":\"" + discoveryAddress + "\","
                        + "\"name\":\"n0\",\"seed\":\"8c1f30d27a5be964\",\"known\":{\"seq\":1,"
                        + "\"whole\":true,\"hosts\":["
                        + String.join(",", endpoints).replace("\"born_ms\":0", "\"born_ms\":" + enginesStartedMillis)
                        + "]},\"limits\":{\"sockets\":" + descriptorLimit + ",\"memory_mb\":" + memoryMegabytes
                        + "},\"settings\":" + settings + "}");
    }

    /** Sends a signal to the gateway. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    private static int awaitPort(BufferedReader log, String frontField) throws IOException {
        List<String> linesBefore = new ArrayList<>();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            linesBefore.add(line);
            if (line.contains(frontField)) {
                return Integer.parseInt(line.substring(line.lastIndexOf("port=") + "port=".length()));
            }
        }
        throw new IOException("the gateway ended before it listened: " + linesBefore);
    }

    /** Returns an entry of an endpoint list, as JSON. */
    static String endpoint(StubServer engine, String kind, String health) {
        return endpoint(engine.address(), kind, health);
    }

    static String endpoint(String address, String kind, String health) {
        return "{\"host\":\"" + address + "\",\"dial\":\"" + address
                + "\",\"site\":\"a\",\"class\":\"" + kind + "\",\"block\":1,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Returns an update with a new entry for each of these decode engines, all with the same health. */
    static String decodeDelta(int version, String health, StubServer... engines) {
        return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":["
                + Stream.of(engines)
                        .map(engine -> endpoint(engine, "answer", health))
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /**
     * Returns the number of requests with this method that the two decode engines received and whose body or target
     * contains the text.
     */
    long decodeRequestCount(String method, String text) {
        return decodeEngines.stream()
                .mapToLong(engine -> engine.requestCount(method, text))
                .sum();
    }

    /** Returns the number of calls to release the KV cache of the request that the three engines received. */
    long releaseCount(String requestId) {
        return decodeRequestCount("DELETE", requestId) + prefillEngine.requestCount("DELETE", requestId);
    }

    /** Returns the number of attempts that the gateway abandoned at the prefill engine and the two decode engines. */
    int abandonedAttemptCount() {
        return prefillEngine.abandonedRequests.size()
                + decodeEngines.stream()
                        .mapToInt(engine -> engine.abandonedRequests.size())
                        .sum();
    }

    /** Marks the first event as received by the client. The decode engines then break their "cut later" streams. */
    void confirmFirstEvent() {
        decodeEngines.forEach(engine -> engine.firstEventReceived = true);
    }

    /**
     * Sets the number of events that the client has received. The decode engines then write the next event of their "in
     * steps" streams.
     */
    void confirmEvents(int received) {
        decodeEngines.forEach(engine -> engine.eventsReceived = received);
    }

    boolean hasLogged(String text) {
        return logLines.stream().anyMatch(line -> line.contains(text));
    }

    static String nextRequestId() {
        return String.format("%016x", LAST_REQUEST_ID.incrementAndGet());
    }

    /** Sends a request in the platform's protocol on a new connection; the timeout is in seconds. */
    TestClient post(String requestId, String serviceClass, String timeout, String body) throws IOException {
        return new TestClient(port)
                .send("POST", "/v1/chat/completions?trace=1", platformHeaders(requestId, serviceClass, timeout), body);
    }

    static String platformHeaders(String requestId, String serviceClass, String timeout) {
        return "X-Request-ID: " + requestId + "\r\nX-Priority-Class: " + serviceClass + "\r\nX-Tenant-Id: acme\r\n"
                + "X-Route-Key: 7f3a\r\nX-Timeout: " + timeout + "\r\nContent-Type: application/json\r\n"
                + "X-Attrs: prefix=5c0f,prompt_len=120,prefix_len=20,max_out=80\r\n";
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        if (!ownsStubs) {
            return;
        }
        List<StubServer> stubs = new ArrayList<>(additionalEngines.keySet());
        stubs.addAll(decodeEngines);
        stubs.addAll(List.of(prefillEngine, discovery));
        for (StubServer stub : stubs) {
            stub.close();
        }
    }
}

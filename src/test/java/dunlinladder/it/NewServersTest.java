package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Old clients before the running program, whose engines speak a newer format or are on their way to it. */
@Timeout(value = 600, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NewServersTest {

    private static final String TEXT = "Zwei B\u00fccher \ud83d\udcda, \\\"neu\\\".";
    private static final String COMMON = """
            {"serial":1,"settings":{"listen":"127.0.0.1:0","deadlines.listing":"5",
            "keys.CHAT_KEY.tenant":"acme","models.find.class":"lookup","models.list.class":"listing",
            """;

    @TempDir
    private Path folder;

    private RunningGateway gateway;

    private void start(String settings, Map<StubServer, String> more) throws Exception {
        Path state = folder.resolve("applied.json");
        Files.writeString(state, COMMON + settings + "}}");
        gateway = RunningGateway.builder()
                .chatFront(state)
                .additionalEngines(more)
                .start();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
    }

    private TestClient post(String path, String model, boolean stream, String text) throws Exception {
        String talk = path.equals("/v1/completions")
                ? "\"prompt\":\"" + text + "\""
                : "\"max_tokens\":50,\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]";
        return new TestClient(gateway.chatPort)
                .send(
                        "POST",
                        path,
                        "Authorization: Bearer secret\r\n",
                        "{\"model\":\"" + model + "\",\"stream\":" + stream + "," + talk + "}");
    }

    @ParameterizedTest
    @CsvSource({"/v1/completions", "/v1/chat/completions", "/v1/messages"})
    void oldClientsReachNewServers(String path) throws Exception {
        start("\"generations.new.format\":\"responses\"", Map.of());
        for (String model : List.of("find", "list")) {
            try (TestClient client = post(path, model, false, "whole " + model)) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertEquals(200, client.status, body);
                assertTrue(body.contains(TEXT), body);
            }
        }
        assertTrue(gateway.prefillEngine.receivedRequests.stream()
                .allMatch(s -> s.target().equals("/v1/responses") || s.method().equals("DELETE")));
        // A fault at each event of the answer: whatever the client has by then, it never gets a good end.
        for (int kept = 0; kept < 12; kept++) {
            try (TestClient client = post(path, "list", true, "broken after " + kept + " events")) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertFalse(body.contains("[DONE]") || body.contains("message_stop"), kept + ": " + body);
                assertTrue(client.status == 502 || body.contains("error"), kept + ": " + body);
            }
            assertEquals(1, gateway.decodeRequestCount("POST", "broken after " + kept + " events"));
        }
        try (TestClient client = post(path, "list", true, "failing")) {
            assertTrue(client.readHead());
            String body = client.readBody();
            assertTrue(body.contains("error") && !body.contains("inner host"), body);
        }
    }

    /** An engine that does not know the path is left out after it has shown so, and costs no listing. */
    @Test
    void engineThatDoesNotSpeakItsGenerationsFormatIsLeftOut() throws Exception {
        start("\"generations.new.format\":\"responses\"", Map.of());
        gateway.decodeEngines.get(0).knownPathPrefix = "/v1/chat/";
        for (int i = 0; i < 30; i++) {
            try (TestClient client = post("/v1/chat/completions", "find", false, "search " + i)) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertEquals(200, client.status, body);
            }
        }
        long wasted = gateway.decodeEngines.get(0).requestCount("POST", "search");
        assertTrue(wasted <= 3, "sent " + wasted + " times to an engine that does not know the format");
        for (int i = 0; i < 10; i++) {
            try (TestClient client = post("/v1/chat/completions", "list", false, "offer " + i)) {
                assertTrue(client.readHead());
                assertEquals(200, client.status);
                client.readBody();
            }
        }
        assertEquals(0, gateway.decodeEngines.get(0).requestCount("POST", "offer"));
    }

    /**
     * While the fleet moves through all stages, and writers lose their connections: one outcome for each client, and no
     * listing twice. {@code make soak} sends more.
     */
    @Test
    void aMoveUnderLoadKeepsTheRules() throws Exception {
        Map<StubServer, String> more = Map.of(
                new StubServer(StubServer.Role.PREFILL),
                "prompt",
                new StubServer(StubServer.Role.DECODE),
                "answer",
                new StubServer(StubServer.Role.DECODE),
                "answer");
        start("""
                "generations.old.format":"chat","generations.new.format":"responses",
                "generations.new.ids":"none","move.from":"old","move.to":"new","move.ramp_seconds":"0.1",
                "move.stages.1.engines":"0.5","move.stages.1.hold_seconds":"3",
                "move.stages.2.engines":"1","move.stages.2.hold_seconds":"0.3",
                "move.stop.least":"5","move.stop.failed":"1","move.stop.delay":"1000"
                """, more);
        String[] paths = {"/v1/completions", "/v1/chat/completions", "/v1/messages"};
        ExecutorService pool = Executors.newFixedThreadPool(12);
        List<Future<Integer>> outcomes = new ArrayList<>();
        try {
            int sent = 0;
            int least = Integer.getInteger("dunlinladder.requests", 240);
            List<StubServer> writers = more.entrySet().stream()
                    .filter(e -> e.getValue().equals("answer"))
                    .map(Map.Entry::getKey)
                    .toList();
            while (sent < least || !gateway.hasLogged("state=DONE")) {
                String text = "n" + sent + (sent % 9 == 0 ? " reset-decode" : sent % 7 == 0 ? " busy-decode" : " .");
                String path = paths[sent % 3];
                String model = sent % 2 == 0 ? "list" : "find";
                boolean stream = sent % 5 == 0;
                outcomes.add(pool.submit(() -> {
                    try (TestClient client = post(path, model, stream, text)) {
                        return client.readHead() && !client.readBody().endsWith("(cut)") ? client.status : 0;
                    }
                }));
                if (++sent % 12 == 0) {
                    if (sent % 60 == 0) {
                        writers.get(sent / 60 % writers.size()).closeConnections();
                    }
                    for (Future<Integer> each : outcomes.subList(sent - 12, sent)) {
                        each.get();
                    }
                }
            }
            for (int i = 0; i < outcomes.size(); i++) {
                int status = outcomes.get(i).get();
                assertTrue(List.of(200, 429, 502, 529).contains(status), "request " + i + ": " + status);
            }
            List<StubServer> engines = new ArrayList<>(more.keySet());
            engines.addAll(gateway.decodeEngines);
            for (int i = 0; i < sent; i += 2) {
                String mark = "n" + i + " ";
                long ran = engines.stream()
                        .flatMap(e -> e.receivedRequests.stream())
                        .filter(s -> s.body().contains(mark) && !s.body().contains("busy-decode"))
                        .count();
                // Reads of the further reader are no runs; each engine is counted for what it is.
                long reads = more.entrySet().stream()
                        .filter(e -> e.getValue().equals("prompt"))
                        .flatMap(e -> e.getKey().receivedRequests.stream())
                        .filter(s -> s.body().contains(mark) && !s.body().contains("busy-decode"))
                        .count();
                assertTrue(ran - reads <= 1, "listing " + i + " ran " + (ran - reads) + " times");
            }
            List<String> targets = engines.stream()
                    .flatMap(e -> e.receivedRequests.stream())
                    .map(ReceivedRequest::target)
                    .distinct()
                    .toList();
            assertTrue(targets.contains("/v1/responses") && targets.contains("/v1/chat/completions"));
            // The move is over: nothing goes out in the old format any more.
            long old = engines.stream()
                    .flatMap(e -> e.receivedRequests.stream())
                    .filter(s -> s.target().equals("/v1/chat/completions"))
                    .count();
            for (int i = 0; i < 10; i++) {
                try (TestClient client = post("/v1/chat/completions", "find", false, "after all")) {
                    assertTrue(client.readHead());
                    client.readBody();
                }
            }
            assertEquals(
                    old,
                    engines.stream()
                            .flatMap(e -> e.receivedRequests.stream())
                            .filter(s -> s.target().equals("/v1/chat/completions"))
                            .count());
        } finally {
            pool.shutdownNow();
            assertTrue(pool.awaitTermination(30, TimeUnit.SECONDS));
        }
    }
}

package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Clients of older API formats at a running gateway whose engines speak a newer format or migrate to it. */
@Timeout(value = 600, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NewServersTest {

    private static final String RECORDED_TEXT = "Zwei B\u00fccher \ud83d\udcda, \\\"neu\\\".";

    private static final String MIGRATION_SETTINGS = """
            "generations.old.format":"chat","generations.new.format":"responses",
            "generations.new.ids":"none","move.from":"old","move.to":"new","move.ramp_seconds":"0.1",
            "move.stages.1.engines":"0.5","move.stages.1.hold_seconds":"3",
            "move.stages.2.engines":"1","move.stages.2.hold_seconds":"0.3",
            "move.stop.least":"5","move.stop.failed":"1","move.stop.delay":"1000"
            """;
    private static final List<String> CLIENT_PATHS = List.of("/v1/completions", "/v1/chat/completions", "/v1/messages");
    private static final String OLD_FORMAT_TARGET = "/v1/chat/completions";
    /** Clients that send at the same time; also the number of requests in a batch. */
    private static final int CLIENTS = 12;

    @TempDir
    private Path folder;

    private RunningGateway gateway;

    private void start(String settings, Map<StubServer, String> additionalEngines) throws Exception {
        Path state = folder.resolve("applied.json");
        ChatGatewayExtension.writeAppliedState(state, "5", settings);
        gateway = RunningGateway.builder()
                .chatFront(state)
                .additionalEngines(additionalEngines)
                .start();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
    }

    private TestClient post(String path, String model, boolean stream, String text) throws Exception {
        String content = path.equals("/v1/completions")
                ? "\"prompt\":\"" + text + "\""
                : "\"max_tokens\":50,\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]";
        return new TestClient(gateway.chatPort)
                .send(
                        "POST",
                        path,
                        ChatGatewayExtension.BEARER_KEY,
                        "{\"model\":\"" + model + "\",\"stream\":" + stream + "," + content + "}");
    }

    @ParameterizedTest
    @CsvSource({"/v1/completions", "/v1/chat/completions", "/v1/messages"})
    void translatesForClientsOfOlderFormats(String path) throws Exception {
        start("\"generations.new.format\":\"responses\"", Map.of());
        for (String model : List.of("find", "list")) {
            try (TestClient client = post(path, model, false, "whole " + model)) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertEquals(200, client.status, body);
                assertTrue(body.contains(RECORDED_TEXT), body);
            }
        }
        assertTrue(gateway.prefillEngine.receivedRequests.stream()
                .allMatch(request -> request.target().equals("/v1/responses")
                        || request.method().equals("DELETE")));
        // A fault at each event of the answer: whatever the client has received by then, its stream must not end like a
        // complete one.
        for (String fault : List.of("broken", "ended")) {
            for (int written = 0; written < 12; written++) {
                assertReplyIsInterrupted(path, fault + " after " + written + " events");
            }
        }
        try (TestClient client = post(path, "list", true, "failing")) {
            assertTrue(client.readHead());
            String body = client.readBody();
            assertTrue(body.contains("error") && !body.contains("inner host"), body);
        }
    }

    private void assertReplyIsInterrupted(String path, String fault) throws Exception {
        for (boolean streaming : new boolean[] {true, false}) {
            String text = fault + " streaming " + streaming;
            try (TestClient client = post(path, "list", streaming, text)) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertFalse(body.contains("[DONE]") || body.contains("message_stop"), text + ": " + body);
                assertTrue(client.status == 502 || streaming && body.contains("error"), text + ": " + body);
                assertEquals(client.status == 200, body.endsWith("(cut)"), text + ": " + body);
            }
            assertEquals(1, gateway.decodeRequestCount("POST", text));
        }
    }

    /** An engine that answers 404 soon gets no more requests, and no listing fails because of it. */
    @Test
    void avoidsAnEngineThatDoesNotSupportItsGenerationsFormat() throws Exception {
        start("\"generations.new.format\":\"responses\"", Map.of());
        gateway.decodeEngines.get(0).knownPathPrefix = "/v1/chat/";
        for (int i = 0; i < 30; i++) {
            try (TestClient client = post("/v1/chat/completions", "find", false, "search " + i)) {
                assertTrue(client.readHead());
                String body = client.readBody();
                assertEquals(200, client.status, body);
            }
        }
        long sentCount = gateway.decodeEngines.get(0).requestCount("POST", "search");
        assertTrue(sentCount <= 3, "sent " + sentCount + " requests to an engine that does not support the format");
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
     * The fleet migrates through all stages while decode engines lose their connections: each client gets one outcome,
     * and no listing runs twice. {@code make soak} sends more requests.
     */
    @Test
    void givesOneOutcomeAndRunsNoListingTwiceWhenTheFleetMigrates() throws Exception {
        // Given a fleet that starts to migrate from chat completions to responses
        Map<StubServer, String> additionalEngines = Map.of(
                new StubServer(StubServer.Role.PREFILL), "prompt",
                new StubServer(StubServer.Role.DECODE), "answer",
                new StubServer(StubServer.Role.DECODE), "answer");
        start(MIGRATION_SETTINGS, additionalEngines);
        ExecutorService pool = Executors.newFixedThreadPool(CLIENTS);
        try {
            // When clients send until the migration is done
            List<Future<Integer>> outcomes = sendUntilMigrated(pool, enginesOfKind(additionalEngines, "answer"));
            // Then each has one outcome, and no listing ran twice
            for (int i = 0; i < outcomes.size(); i++) {
                int status = outcomes.get(i).get();
                assertTrue(List.of(200, 429, 502, 529).contains(status), "request " + i + ": " + status);
            }
            List<StubServer> engines = new ArrayList<>(additionalEngines.keySet());
            engines.addAll(gateway.decodeEngines);
            checkNoListingRanTwice(outcomes.size(), engines, enginesOfKind(additionalEngines, "prompt"));
            checkOnlyTheNewFormatIsSent(engines);
        } finally {
            pool.shutdownNow();
            assertTrue(pool.awaitTermination(30, TimeUnit.SECONDS));
        }
    }

    private static List<StubServer> enginesOfKind(Map<StubServer, String> engines, String kind) {
        return engines.entrySet().stream()
                .filter(engine -> engine.getValue().equals(kind))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Sends batches of mixed requests until the migration is done. After every fifth batch one of the engines loses its
     * connections.
     */
    private List<Future<Integer>> sendUntilMigrated(ExecutorService pool, List<StubServer> unreliableEngines)
            throws Exception {
        List<Future<Integer>> outcomes = new ArrayList<>();
        int minRequests = Integer.getInteger("dunlinladder.requests", 240);
        while (outcomes.size() < minRequests || !gateway.hasLogged("state=DONE")) {
            int number = outcomes.size();
            outcomes.add(pool.submit(() -> outcome(number)));
            int sent = outcomes.size();
            if (sent % (5 * CLIENTS) == 0) {
                unreliableEngines
                        .get(sent / (5 * CLIENTS) % unreliableEngines.size())
                        .closeConnections();
            }
            if (sent % CLIENTS == 0) {
                for (Future<Integer> outcome : outcomes.subList(sent - CLIENTS, sent)) {
                    outcome.get();
                }
            }
        }
        return outcomes;
    }

    /**
     * Returns the status of a request's answer, 0 when the answer was incomplete. Requests with even numbers are
     * listings.
     */
    private int outcome(int number) throws Exception {
        String fault = number % 9 == 0 ? " reset-decode" : number % 7 == 0 ? " busy-decode" : " .";
        String model = number % 2 == 0 ? "list" : "find";
        try (TestClient client = post(CLIENT_PATHS.get(number % 3), model, number % 5 == 0, "n" + number + fault)) {
            return client.readHead() && !client.readBody().endsWith("(cut)") ? client.status : 0;
        }
    }

    private static void checkNoListingRanTwice(
            int requests, List<StubServer> engines, List<StubServer> prefillEngines) {
        for (int i = 0; i < requests; i += 2) {
            String marker = "n" + i + " ";
            // Prefills at the additional prefill engine do not count as runs, so they are subtracted.
            long runs = processedCount(engines, marker) - processedCount(prefillEngines, marker);
            assertTrue(runs <= 1, "listing " + i + " ran " + runs + " times");
        }
    }

    private static long processedCount(List<StubServer> engines, String marker) {
        return engines.stream()
                .flatMap(engine -> engine.receivedRequests.stream())
                .filter(request ->
                        request.body().contains(marker) && !request.body().contains("busy-decode"))
                .count();
    }

    private void checkOnlyTheNewFormatIsSent(List<StubServer> engines) throws Exception {
        assertTrue(targetCount(engines, "/v1/responses") > 0 && targetCount(engines, OLD_FORMAT_TARGET) > 0);
        long sentBefore = targetCount(engines, OLD_FORMAT_TARGET);
        for (int i = 0; i < 10; i++) {
            try (TestClient client = post("/v1/chat/completions", "find", false, "after all")) {
                assertTrue(client.readHead());
                client.readBody();
            }
        }
        assertEquals(sentBefore, targetCount(engines, OLD_FORMAT_TARGET));
    }

    private static long targetCount(List<StubServer> engines, String target) {
        return engines.stream()
                .flatMap(engine -> engine.receivedRequests.stream())
                .filter(request -> request.target().equals(target))
                .count();
    }
}

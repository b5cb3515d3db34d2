package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the chat front of a running gateway with stub engines. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ChatFrontTest {

    private static final int MIXED_REQUESTS = 2000;
    /** Clients that ask at once, with this many short messages each. */
    private static final int CROWD = 150;

    private static final int SHORT_MESSAGES = 7000;
    private static final String CROWD_DEADLINE_SECONDS = "8";
    /** Words that select the stubs' answers. Each block of ten requests uses the next one. */
    private static final String[] MIXED_FAULTS = {
        "plain", "plain", "plain", "plain", "cut", "plain", "unclosed", "busy-decode", "plain", "pause"
    };

    @RegisterExtension
    static final ChatGatewayExtension CHAT = new ChatGatewayExtension("");

    private static TestClient post(String model, boolean stream, String text) throws Exception {
        return post(CHAT.connect(), model, stream, text);
    }

    private static TestClient post(TestClient client, String model, boolean stream, String text) throws Exception {
        return client.send(
                "POST",
                "/v1/chat/completions",
                ChatGatewayExtension.BEARER_KEY,
                "{\"model\":\"" + model
                        + "\",\"stream\":" + stream
                        + ",\"messages\":[{\"role\":\"system\",\"content\":\"Be brief.\"},"
                        + "{\"role\":\"user\",\"content\":\"" + text + "\"}]}");
    }

    @Test
    void streamsChunksAndTheEndMarker() throws Exception {
        try (TestClient client = post("find", true, "plain")) {
            assertTrue(client.readHead());
            assertEquals("text/event-stream", client.headers.get("content-type"));
            String[] events = client.readBody().split("\n\n");
            assertEquals(3, events.length);
            assertTrue(
                    events[0].matches("data: \\{\"id\":\"chatcmpl-[0-9a-f]+\",\"object\":\"chat.completion"
                            + ".chunk\",\"created\":\\d+,\"model\":\"find\",\"choices\":\\[\\{\"index\":0,\"delt"
                            + "a\":\\{"
                            + "\"role\":\"assistant\",\"content\":\"one\"},\"finish_reason\":null}]}"),
                    events[0]);
            assertEquals("data: [DONE]", events[2]);
        }
    }

    @Test
    void sendsOneAnswerWhenNoStreamIsRequested() throws Exception {
        try (TestClient client = post("list", false, "plain")) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            String body = client.readBody();
            assertTrue(body.contains("\"object\":\"chat.completion\"")
                    && body.contains("\"content\":\"one two\"")
                    && body.contains("\"finish_reason\":\"stop\"")
                    && body.contains("\"completion_tokens\":2"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "find, true, unclosed, 200",
        "list, false, cut, 502",
        "list, false, unclosed, 502",
        "find, true, spoilt size, 200",
        "list, false, spoilt opening, 502",
        "list, true, reset-decode, 502",
        "list, true, hang-decode, 504",
        "list, false, hang-prefill, 429",
        "gone, true, plain, 404"
    })
    void reportsAnErrorWhenARequestFails(String model, boolean stream, String text, int status) throws Exception {
        try (TestClient client = post(model, stream, text + " once")) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
            String body = client.readBody();
            assertTrue(body.contains("\"error\":{\"message\""), body);
            assertFalse(body.contains("[DONE]"), body);
            assertEquals(status == 200, body.endsWith("(cut)"), body);
            // Client libraries retry after a 5xx on their own unless this header forbids it.
            assertEquals(status >= 500 ? "false" : null, client.headers.get("X-Should-Retry"));
            assertEquals(status == 429, client.headers.containsKey("Retry-After"));
        }
    }

    /**
     * Guards against client libraries that retry a failed request by themselves, at any engine, where the request may
     * run again in one cell only.
     */
    @Test
    void forbidsTheRetryOfAKeyedRequest(@TempDir Path folder) throws Exception {
        Path state = folder.resolve("applied.json");
        ChatGatewayExtension.writeAppliedState(state, "0.8", "");
        try (RunningGateway keyed = RunningGateway.builder()
                        .settings(RunningGateway.KEYED_SETTINGS)
                        .chatFront(state)
                        .start();
                TestClient client = post(new TestClient(keyed.chatPort), "list", true, "hang-decode")) {
            assertTrue(client.readHead());
            assertEquals(504, client.status);
            assertEquals("false", client.headers.get("X-Should-Retry"));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST|/v1/chat/completions|secret|{}|400",
                "POST|/v1/chat/completions|secret|hello|400",
                "POST|/v1/chat/completions|wrong|{}|401",
                "GET|/v1/models|wrong|x|401",
                "GET|/v1/models|secret|x|200",
                "POST|/v1/models|secret|x|405",
                "GET|/v1/engines|secret|x|404",
                "POST|/v1/chat/completions|secret|long|413",
                "POST|/v1/chat/completions|secret|many values|413"
            })
    void validatesRequests(String method, String target, String key, String body, int status) throws Exception {
        try (TestClient client = CHAT.connect()
                .send(
                        method,
                        target,
                        "Authorization: Bearer " + key + "\r\n",
                        switch (body) {
                            case "long" -> "x".repeat(300_000);
                            case "many values" -> "{},".repeat(80_000);
                            default -> body;
                        })) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
            assertTrue(client.readBody().contains(status == 200 ? "\"id\":\"find\"" : "\"error\":{"));
        }
    }

    /**
     * Guards against a client's body of nested brackets that ends the front's I/O thread, with the connections of all
     * clients.
     */
    @Test
    void keepsOtherConnectionsWhenABodyIsNestedTooDeeply() throws Exception {
        try (TestClient other = CHAT.connect();
                TestClient client = CHAT.connect()
                        .send(
                                "POST",
                                "/v1/chat/completions",
                                ChatGatewayExtension.BEARER_KEY,
                                "{\"model\":" + "[".repeat(2000))) {
            assertTrue(client.readHead());
            assertEquals(400, client.status);
            assertTrue(other.send("GET", "/v1/models", ChatGatewayExtension.BEARER_KEY, "")
                    .readHead());
            assertEquals(200, other.status);
        }
    }

    /**
     * Guards against requests that are lost, and fronts that fall silent, because parsed conversations fill the heap:
     * many small messages take far more memory than their bytes. The engines hang, so that all requests that are
     * accepted are held at a time. With one format of engines the front's I/O thread translates, with several each
     * request's thread.
     */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '\'',
            delimiter = '|',
            value = {
                "\"generations.new.format\":\"responses\"",
                "\"generations.a.format\":\"responses\",\"generations.a.kinds\":\"[prompt, answer]\","
                        + "\"generations.b.format\":\"messages\",\"generations.b.kinds\":\"[mixed]\""
            })
    void answersAllOfManyLongConversationsAtOnce(String generations, @TempDir Path folder) throws Exception {
        Path state = folder.resolve("applied.json");
        ChatGatewayExtension.writeAppliedState(state, CROWD_DEADLINE_SECONDS, generations);
        String body = "{\"model\":\"list\",\"messages\":["
                + "{\"role\":\"user\",\"content\":\"ok\"},".repeat(SHORT_MESSAGES)
                + "{\"role\":\"user\",\"content\":\"hang-prefill\"}]}";
        ExecutorService clients = Executors.newFixedThreadPool(CROWD);
        try (RunningGateway crowded = RunningGateway.builder().chatFront(state).start()) {
            List<Future<Integer>> outcomes = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                outcomes.add(clients.submit(() -> {
                    try (TestClient client = new TestClient(crowded.chatPort)
                            .send("POST", "/v1/chat/completions", ChatGatewayExtension.BEARER_KEY, body)) {
                        return client.readHead() ? client.status : 0;
                    }
                }));
            }
            Set<Integer> statuses = new TreeSet<>();
            for (Future<Integer> outcome : outcomes) {
                statuses.add(outcome.get());
            }
            assertTrue(Set.of(429, 504).containsAll(statuses), statuses::toString);
            assertFalse(crowded.hasLogged("OutOfMemoryError"));
            assertTrue(crowded.prefillEngine.requestCount("POST", "hang-prefill") > 0);
            try (TestClient next =
                    new TestClient(crowded.chatPort).send("GET", "/v1/models", ChatGatewayExtension.BEARER_KEY, "")) {
                assertTrue(next.readHead());
                assertEquals(200, next.status);
            }
        } finally {
            clients.shutdown();
        }
    }

    /**
     * Requests with various faults are mixed: each client gets one terminal outcome, and no listing runs twice at
     * decode engines.
     */
    @Test
    void givesOneOutcomeToEachOfTwoThousandMixedRequests() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(16);
        List<Future<String>> outcomes = new ArrayList<>();
        for (int i = 0; i < MIXED_REQUESTS; i++) {
            String model = i % 5 < 3 ? "find" : "list";
            String fault = MIXED_FAULTS[i / 10 % MIXED_FAULTS.length];
            String name = fault + "-" + model + "-" + i + ".";
            boolean stream = fault.equals("pause") || i % 2 == 0;
            outcomes.add(clients.submit(() -> outcome(model, stream, fault, name)));
        }
        Map<String, Integer> counts = new TreeMap<>();
        for (Future<String> outcome : outcomes) {
            counts.merge(outcome.get(), 1, Integer::sum);
        }
        clients.shutdown();
        for (int i = 0; i < MIXED_REQUESTS; i++) {
            String name = "-list-" + i + ".";
            long runs = runCount(name);
            assertTrue(runs <= 1, name + " ran " + runs + " times");
        }
        assertEquals(
                MIXED_REQUESTS,
                counts.values().stream().mapToInt(Integer::intValue).sum(),
                counts::toString);
        assertTrue(counts.getOrDefault("served", 0) > 500, counts::toString);
        assertTrue(counts.getOrDefault("broken", 0) > 50, counts::toString);
        assertTrue(counts.getOrDefault("disconnected", 0) > 50, counts::toString);
    }

    /** Returns how often decode engines ran a request. A "busy" answer means that the request did not run. */
    private static long runCount(String name) {
        return CHAT.gateway().decodeRequestCount("POST", name)
                - (CHAT.gateway().decodeRequestCount("POST", "busy-decode" + name) > 0
                        ? CHAT.gateway().decodeEngines.stream()
                                .filter(engine -> engine.requestCount("POST", name) > 0)
                                .count()
                        : 0);
    }

    private static String outcome(String model, boolean stream, String fault, String name) throws Exception {
        try (TestClient client = post(model, stream, name)) {
            assertTrue(client.readHead(), name);
            if (fault.equals("pause") && client.status == 200) {
                return "disconnected";
            }
            String body = client.readBody();
            int endMarkers = body.split("data: \\[DONE]", -1).length - 1;
            int errors = body.split("\"error\":\\{", -1).length - 1;
            if (client.status == 200 && stream) {
                assertEquals(1, endMarkers + errors, name + body);
                assertEquals(fault.equals("cut") || fault.equals("unclosed") ? 1 : 0, errors, name);
                // Nothing may follow the terminal event, and only a whole reply ends with the last chunk.
                assertTrue(
                        body.endsWith(errors > 0 ? "\n\n(cut)" : "\n\n")
                                && body.lastIndexOf("data: ")
                                        == Math.max(body.indexOf("data: [DONE]"), body.indexOf("data: {\"error\"")),
                        body);
            } else {
                assertEquals(client.status == 200 ? 0 : 1, errors, name);
            }
            if (client.status == 429) {
                return "refused";
            }
            assertTrue(client.status == 200 || client.status == 502, name + client.status);
            return errors > 0 ? "broken" : "served";
        }
    }

    @Test
    void offersNoChatWithoutAppliedState() throws Exception {
        try (RunningGateway platformOnly = RunningGateway.builder().start();
                TestClient client = new TestClient(platformOnly.port)
                        .send("GET", "/v1/models", ChatGatewayExtension.BEARER_KEY, "")) {
            assertTrue(client.readHead());
            assertEquals(404, client.status);
            assertNull(client.headers.get("Retry-After"));
        }
    }
}

package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients of each API format at a running gateway whose engines speak chat completions. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientFormatTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    @RegisterExtension
    static final ChatGatewayExtension CHAT = new ChatGatewayExtension("\"unknown_fields\":\"drop\"");

    private static String body(String path, String model, boolean stream, String text, String moreMembers) {
        String content = switch (path) {
            case "/v1/completions" -> "'prompt':'" + text + "'";
            case "/v1/responses" -> "'instructions':'Be brief.','input':'" + text + "'";
            default -> "'max_tokens':50,'messages':[{'role':'user','content':'" + text + "'}]";
        };
        return ("{'model':'" + model + "','stream':" + stream + "," + content + moreMembers + "}").replace('\'', '"');
    }

    private static TestClient post(String path, String body) throws Exception {
        return CHAT.connect()
                .send(
                        "POST",
                        path,
                        path.endsWith("messages") ? "x-api-key: secret\r\n" : ChatGatewayExtension.BEARER_KEY,
                        body);
    }

    /** Returns the data of a stream's events without the end marker {@code [DONE]}. */
    private static List<JsonNode> events(String stream) throws Exception {
        List<JsonNode> events = new ArrayList<>();
        for (String line : stream.split("\n")) {
            if (line.startsWith("data: ") && !line.equals("data: [DONE]")) {
                events.add(JSON.readTree(line.substring(6)));
            }
        }
        return events;
    }

    @ParameterizedTest
    @CsvSource({
        "/v1/completions, /choices/0/text, /usage/completion_tokens",
        "/v1/responses, /output/0/content/0/text, /usage/output_tokens",
        "/v1/messages, /content/0/text, /usage/output_tokens"
    })
    void sendsOneAnswerInTheClientsFormat(String path, String textPointer, String tokensPointer) throws Exception {
        try (TestClient client = post(path, body(path, "list", false, "plain " + path, ""))) {
            assertTrue(client.readHead());
            String answer = client.readBody();
            assertEquals(200, client.status, answer);
            assertEquals("one two", JSON.readTree(answer).at(textPointer).asText(), answer);
            assertEquals(2, JSON.readTree(answer).at(tokensPointer).asInt(), answer);
        }
        ReceivedRequest forwarded = CHAT.gateway().prefillEngine.receivedRequests.stream()
                .filter(request -> request.body().contains("plain " + path))
                .findFirst()
                .orElseThrow();
        assertEquals("/v1/chat/completions", forwarded.target());
        JsonNode forwardedBody = JSON.readTree(forwarded.body());
        assertTrue(forwardedBody.path("stream").asBoolean()
                && forwardedBody.at("/stream_options/include_usage").asBoolean());
        assertEquals(
                "plain " + path,
                forwardedBody
                        .path("messages")
                        .path(forwardedBody.path("messages").size() - 1)
                        .path("content")
                        .asText());
        assertEquals(1, CHAT.gateway().decodeRequestCount("POST", "plain " + path));
    }

    @ParameterizedTest
    @CsvSource({
        "/v1/completions, /choices/0/text, ''",
        "/v1/responses, /delta, response.completed",
        "/v1/messages, /delta/text, message_stop"
    })
    void streamsInTheClientsFormat(String path, String textPointer, String lastType) throws Exception {
        try (TestClient client = post(path, body(path, "find", true, "plain", ""))) {
            assertTrue(client.readHead());
            assertEquals("text/event-stream", client.headers.get("content-type"));
            String stream = client.readBody();
            List<JsonNode> events = events(stream);
            StringBuilder text = new StringBuilder();
            events.forEach(event -> text.append(event.at(textPointer).asText("")));
            assertEquals("one two", text.toString(), stream);
            assertEquals(lastType, events.get(events.size() - 1).path("type").asText());
            for (int i = 0; path.endsWith("responses") && i < events.size(); i++) {
                assertEquals(i, events.get(i).path("sequence_number").asInt(-1));
            }
            assertEquals(path.endsWith("completions"), stream.endsWith("data: [DONE]\n\n"));
        }
    }

    /** Every kind of failure is answered with one error in the client's own format. */
    @ParameterizedTest
    @CsvSource({
        "/v1/responses, list, reset-decode, 502",
        "/v1/messages, list, reset-decode, 502",
        "/v1/completions, list, error-decode, 502",
        "/v1/messages, list, spoilt opening, 502",
        "/v1/messages, list, hang-prefill, 529",
        "/v1/responses, list, hang-decode, 504",
        "/v1/responses, list, unclosed, 502",
        "/v1/chat/completions, list, incomplete after its first event, 502",
        "/v1/messages, list, incomplete after its finish reason, 502",
        "/v1/completions, list, sized incomplete after its usage, 502",
        "/v1/messages, gone, plain, 404",
        "/v1/responses, find, error-decode, 429"
    })
    void reportsFailuresInTheClientsFormat(String path, String model, String text, int status) throws Exception {
        String marker = text + " for " + path + status;
        try (TestClient client = post(path, body(path, model, false, marker, ""))) {
            assertTrue(client.readHead());
            String answer = client.readBody();
            assertEquals(status, client.status, answer);
            JsonNode error = JSON.readTree(answer);
            assertTrue(error.path("error").path("message").isTextual(), answer);
            assertEquals(path.endsWith("messages"), error.path("type").asText().equals("error"), answer);
            assertEquals(status == 429 || status == 529, client.headers.containsKey("Retry-After"));
            assertEquals(status >= 500 && status < 529 ? "false" : null, client.headers.get("X-Should-Retry"));
        }
        assertTrue(model.equals("find") || CHAT.gateway().decodeRequestCount("POST", marker) <= 1);
    }

    /** A request that an engine answers with 400 is not retried and does not lead to the ejection of the engine. */
    @ParameterizedTest
    @CsvSource({"/v1/responses, find", "/v1/messages, list", "/v1/chat/completions, find", "/v1/completions, list"})
    void reportsARejectionByAnEngineWithoutRetry(String path, String model) throws Exception {
        for (int i = 0; i < 5; i++) {
            String marker = "reject-decode " + path + i;
            try (TestClient client = post(path, body(path, model, false, marker, ""))) {
                assertTrue(client.readHead());
                String answer = client.readBody();
                assertEquals(400, client.status, answer);
                assertEquals(
                        "too long", JSON.readTree(answer).at("/error/message").asText(), answer);
            }
            assertEquals(1, CHAT.gateway().decodeRequestCount("POST", marker));
        }
        try (TestClient client = post(path, body(path, model, false, "plain after", ""))) {
            assertTrue(client.readHead());
            assertEquals(200, client.status, client.readBody());
        }
    }

    /**
     * A stream that breaks after its first event, or ends before its closing event, ends with a failure in the client's
     * format, never with the end marker or the last chunk.
     */
    @ParameterizedTest
    @CsvSource({
        "/v1/responses, response.failed, spoilt size",
        "/v1/messages, error, spoilt size",
        "/v1/completions, '', spoilt size",
        "/v1/responses, response.failed, incomplete after its usage",
        "/v1/messages, error, incomplete after its finish reason",
        "/v1/completions, '', incomplete after its first event",
        "/v1/chat/completions, '', incomplete after its first event"
    })
    void endsWithOneFailureWhenAStreamBreaks(String path, String type, String fault) throws Exception {
        try (TestClient client = post(path, body(path, "list", true, fault + " " + path, ""))) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            String stream = client.readBody();
            List<JsonNode> events = events(stream);
            assertEquals(type, events.get(events.size() - 1).path("type").asText(), stream);
            assertTrue(stream.contains("broke off") && stream.endsWith("(cut)"), stream);
            assertFalse(
                    stream.contains("[DONE]")
                            || stream.contains("message_stop")
                            || stream.contains("response.completed"),
                    stream);
        }
        assertEquals(1, CHAT.gateway().decodeRequestCount("POST", fault + " " + path));
    }

    @Test
    void warnsOfDroppedFieldsAndRejectsUntranslatableOnes() throws Exception {
        try (TestClient client =
                post("/v1/messages", body("/v1/messages", "find", false, "plain", ",'top_k':3,'novel':1"))) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            String warnings = client.headers.get("X-Translation-Warnings");
            assertTrue(warnings.contains("top_k") && warnings.contains("novel"), warnings);
            client.readBody();
        }
        try (TestClient client = post(
                "/v1/responses",
                body("/v1/responses", "find", false, "refused at once", ",'previous_response_id':'r'"))) {
            assertTrue(client.readHead());
            assertEquals(400, client.status);
            assertEquals(
                    "previous_response_id",
                    JSON.readTree(client.readBody()).at("/error/param").asText());
        }
        assertEquals(0, CHAT.gateway().prefillEngine.requestCount("POST", "refused at once"));
    }

    @ParameterizedTest
    @CsvSource({"/v1/models/find, 200", "/v1/models/none, 404"})
    void describesAModel(String path, int status) throws Exception {
        try (TestClient client = CHAT.connect().send("GET", path, ChatGatewayExtension.BEARER_KEY, "")) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
            assertTrue(client.readBody().contains(status == 200 ? "\"id\":\"find\"" : "model_not_found"));
        }
    }
}

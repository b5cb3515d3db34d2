package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dunlinladder.it.StandIn.Browser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients of each format before the running program, whose engines speak chat completions. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DialectTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    private static Path folder;

    private static Running running;

    @BeforeAll
    static void start() throws Exception {
        Path state = folder.resolve("applied.json");
        Files.writeString(state, """
                {"serial":1,"settings":{"listen":"127.0.0.1:0","deadlines.listing":"0.8",
                "keys.CHAT_KEY.tenant":"acme","models.find.class":"lookup",
                "models.list.class":"listing","unknown_fields":"drop"}}""");
        running = new Running(Map.of("CHAT_KEY", "secret"), state);
    }

    @AfterAll
    static void stop() throws Exception {
        running.close();
    }

    private static String body(String path, String model, boolean stream, String text, String more) {
        String talk = switch (path) {
            case "/v1/completions" -> "'prompt':'" + text + "'";
            case "/v1/responses" -> "'instructions':'Be brief.','input':'" + text + "'";
            default -> "'max_tokens':50,'messages':[{'role':'user','content':'" + text + "'}]";
        };
        return ("{'model':'" + model + "','stream':" + stream + "," + talk + more + "}").replace('\'', '"');
    }

    private static Browser post(String path, String body) throws Exception {
        return new Browser(running.chatPort)
                .send(
                        "POST",
                        path,
                        path.endsWith("messages") ? "x-api-key: secret\r\n" : "Authorization: Bearer secret\r\n",
                        body);
    }

    /** The data of a stream's events, without the closing marker. */
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
    void aWholeAnswerComesInTheClientsFormat(String path, String text, String tokens) throws Exception {
        try (Browser browser = post(path, body(path, "list", false, "plain " + path, ""))) {
            assertTrue(browser.head());
            String answer = browser.body();
            assertEquals(200, browser.status, answer);
            assertEquals("one two", JSON.readTree(answer).at(text).asText(), answer);
            assertEquals(2, JSON.readTree(answer).at(tokens).asInt(), answer);
        }
        StandIn.Seen sent = running.reader.seen.stream()
                .filter(s -> s.body().contains("plain " + path))
                .findFirst()
                .orElseThrow();
        assertEquals("/v1/chat/completions", sent.target());
        JsonNode asked = JSON.readTree(sent.body());
        assertTrue(asked.path("stream").asBoolean()
                && asked.at("/stream_options/include_usage").asBoolean());
        assertEquals(
                "plain " + path,
                asked.path("messages")
                        .path(asked.path("messages").size() - 1)
                        .path("content")
                        .asText());
        assertEquals(1, running.atWriters("POST", "plain " + path));
    }

    @ParameterizedTest
    @CsvSource({
        "/v1/completions, /choices/0/text, ''",
        "/v1/responses, /delta, response.completed",
        "/v1/messages, /delta/text, message_stop"
    })
    void aStreamComesInTheClientsFormat(String path, String piece, String last) throws Exception {
        try (Browser browser = post(path, body(path, "find", true, "plain", ""))) {
            assertTrue(browser.head());
            assertEquals("text/event-stream", browser.headers.get("content-type"));
            String stream = browser.body();
            List<JsonNode> events = events(stream);
            StringBuilder text = new StringBuilder();
            events.forEach(event -> text.append(event.at(piece).asText("")));
            assertEquals("one two", text.toString(), stream);
            assertEquals(last, events.get(events.size() - 1).path("type").asText());
            for (int i = 0; path.endsWith("responses") && i < events.size(); i++) {
                assertEquals(i, events.get(i).path("sequence_number").asInt(-1));
            }
            assertEquals(path.endsWith("completions"), stream.endsWith("data: [DONE]\n\n"));
        }
    }

    /** Every way in which an answer can fail ends in one error of the client's own format. */
    @ParameterizedTest
    @CsvSource({
        "/v1/responses, list, reset-writer, 502",
        "/v1/messages, list, reset-writer, 502",
        "/v1/completions, list, error-writer, 502",
        "/v1/messages, list, spoilt opening, 502",
        "/v1/messages, list, hang-reader, 529",
        "/v1/responses, list, hang-writer, 504",
        "/v1/responses, list, unclosed, 502",
        "/v1/messages, gone, plain, 404",
        "/v1/responses, find, error-writer, 429"
    })
    void failuresAreToldInTheClientsFormat(String path, String model, String text, int status) throws Exception {
        String mark = text + " for " + path + status;
        try (Browser browser = post(path, body(path, model, false, mark, ""))) {
            assertTrue(browser.head());
            String answer = browser.body();
            assertEquals(status, browser.status, answer);
            JsonNode error = JSON.readTree(answer);
            assertTrue(error.path("error").path("message").isTextual(), answer);
            assertEquals(path.endsWith("messages"), error.path("type").asText().equals("error"), answer);
            assertEquals(status == 429 || status == 529, browser.headers.containsKey("Retry-After"));
            assertEquals(status >= 500 && status < 529 ? "false" : null, browser.headers.get("X-Should-Retry"));
        }
        assertTrue(model.equals("find") || running.atWriters("POST", mark) <= 1);
    }

    /** What an engine finds at fault in the request itself is told at once, and costs no engine its name. */
    @ParameterizedTest
    @CsvSource({"/v1/responses, find", "/v1/messages, list", "/v1/chat/completions, find", "/v1/completions, list"})
    void whatAnEngineRejectsIsToldAtOnce(String path, String model) throws Exception {
        for (int i = 0; i < 5; i++) {
            String mark = "reject-writer " + path + i;
            try (Browser browser = post(path, body(path, model, false, mark, ""))) {
                assertTrue(browser.head());
                String answer = browser.body();
                assertEquals(400, browser.status, answer);
                assertEquals(
                        "too long", JSON.readTree(answer).at("/error/message").asText(), answer);
            }
            assertEquals(1, running.atWriters("POST", mark));
        }
        try (Browser browser = post(path, body(path, model, false, "plain after", ""))) {
            assertTrue(browser.head());
            assertEquals(200, browser.status, browser.body());
        }
    }

    /** A stream that breaks after its first event ends with the client's own failure, never with an end. */
    @ParameterizedTest
    @CsvSource({"/v1/responses, response.failed", "/v1/messages, error", "/v1/completions, ''"})
    void aBrokenStreamEndsWithOneFailure(String path, String type) throws Exception {
        try (Browser browser = post(path, body(path, "list", true, "spoilt size " + path, ""))) {
            assertTrue(browser.head());
            assertEquals(200, browser.status);
            String stream = browser.body();
            List<JsonNode> events = events(stream);
            assertEquals(type, events.get(events.size() - 1).path("type").asText(), stream);
            assertTrue(stream.contains("broke off"), stream);
            assertFalse(
                    stream.contains("[DONE]")
                            || stream.contains("message_stop")
                            || stream.contains("response.completed"),
                    stream);
        }
        assertEquals(1, running.atWriters("POST", "spoilt size " + path));
    }

    @Test
    void whatIsLeftOutIsSaidAndWhatCannotBeSaidIsRefused() throws Exception {
        try (Browser browser =
                post("/v1/messages", body("/v1/messages", "find", false, "plain", ",'top_k':3,'novel':1"))) {
            assertTrue(browser.head());
            assertEquals(200, browser.status);
            String warnings = browser.headers.get("X-Translation-Warnings");
            assertTrue(warnings.contains("top_k") && warnings.contains("novel"), warnings);
            browser.body();
        }
        try (Browser browser = post(
                "/v1/responses",
                body("/v1/responses", "find", false, "refused at once", ",'previous_response_id':'r'"))) {
            assertTrue(browser.head());
            assertEquals(400, browser.status);
            assertEquals(
                    "previous_response_id",
                    JSON.readTree(browser.body()).at("/error/param").asText());
        }
        assertEquals(0, running.reader.count("POST", "refused at once"));
    }

    @ParameterizedTest
    @CsvSource({"/v1/models/find, 200", "/v1/models/none, 404"})
    void aModelIsDescribed(String path, int status) throws Exception {
        try (Browser browser =
                new Browser(running.chatPort).send("GET", path, "Authorization: Bearer secret\r\n", "")) {
            assertTrue(browser.head());
            assertEquals(status, browser.status);
            assertTrue(browser.body().contains(status == 200 ? "\"id\":\"find\"" : "model_not_found"));
        }
    }
}

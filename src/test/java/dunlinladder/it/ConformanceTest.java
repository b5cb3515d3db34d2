package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Recorded requests replayed through the started program, for each format of engines, and the answers held against
 * recorded ones field by field. A recorded {@code "*"} stands for any value: ids and times.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConformanceTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    private static Path folder;

    private static int passed;
    private static int failed;

    @AfterAll
    static void count() {
        System.out.println("conformance: " + passed + " passed, " + failed + " failed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"completions", "chat", "responses", "messages"})
    void answersAsRecorded(String engines) throws Exception {
        Path state = folder.resolve(engines + ".json");
        ChatGatewayExtension.writeAppliedState(state, "20", "\"generations.all.format\":\"" + engines + "\"");
        File[] files = new File(
                        ConformanceTest.class.getResource("/conformance").toURI())
                .listFiles((dir, name) -> name.endsWith(".json") && name.contains("-from-" + engines + "-"));
        Arrays.sort(files);
        StringBuilder faults = new StringBuilder();
        try (RunningGateway gateway = RunningGateway.builder().chatFront(state).start()) {
            for (File file : files) {
                JsonNode recorded = JSON.readTree(file);
                String fault = fault(gateway, recorded);
                passed += fault == null ? 1 : 0;
                failed += fault == null ? 0 : 1;
                faults.append(fault == null ? "" : file.getName() + ": " + fault + "\n");
            }
        }
        assertEquals("", faults.toString());
    }

    /** What differs first; null where nothing does. */
    private static String fault(RunningGateway gateway, JsonNode recorded) throws Exception {
        String request = recorded.get("request").toString();
        try (TestClient client = new TestClient(gateway.chatPort)) {
            byte[] body = request.getBytes(StandardCharsets.UTF_8);
            client.socket
                    .getOutputStream()
                    .write(("POST " + recorded.get("path").asText() + " HTTP/1.1\r\n"
                                    + "Host: x\r\nAuthorization: Bearer secret\r\nContent-Length: " + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            client.socket.getOutputStream().write(body);
            if (!client.readHead()) {
                return "no answer";
            }
            String answer = client.readBody();
            if (client.status != recorded.get("status").asInt()) {
                return "status " + client.status + ": " + answer;
            }
            return recorded.has("answer")
                    ? differs("", recorded.get("answer"), JSON.readTree(answer))
                    : differs("", recorded.get("events"), events(answer));
        }
    }

    private static ArrayNode events(String stream) throws Exception {
        ArrayNode events = JSON.createArrayNode();
        for (String line : stream.split("\n")) {
            if (line.equals("data: [DONE]")) {
                events.add("[DONE]");
            } else if (line.startsWith("data: ")) {
                events.add(JSON.readTree(line.substring(6)));
            }
        }
        return events;
    }

    private static String differs(String at, JsonNode recorded, JsonNode now) {
        if (recorded.isTextual() && recorded.asText().equals("*")) {
            return now.isValueNode() && !now.isNull() ? null : at + " is missing";
        }
        if (recorded.isArray() && now.isArray()) {
            for (int i = 0; i < Math.max(recorded.size(), now.size()); i++) {
                if (i >= recorded.size() || i >= now.size()) {
                    return at + " has " + now.size() + " in place of " + recorded.size() + ": " + now;
                }
                String inner = differs(at + "/" + i, recorded.get(i), now.get(i));
                if (inner != null) {
                    return inner;
                }
            }
            return null;
        }
        if (recorded.isObject() && now.isObject()) {
            TreeSet<String> names = new TreeSet<>();
            for (JsonNode each : List.of(recorded, now)) {
                for (Iterator<String> name = each.fieldNames(); name.hasNext(); ) {
                    names.add(name.next());
                }
            }
            for (String name : names) {
                if (!recorded.has(name) || !now.has(name)) {
                    return at + "/" + name + (now.has(name) ? " should not be there: " : " is missing in ") + now;
                }
                String inner = differs(at + "/" + name, recorded.get(name), now.get(name));
                if (inner != null) {
                    return inner;
                }
            }
            return null;
        }
        return recorded.equals(now) ? null : at + " is " + now + ", not " + recorded;
    }
}

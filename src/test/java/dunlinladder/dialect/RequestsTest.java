package dunlinladder.dialect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests from each format to each other, field by field. */
class RequestsTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> warnings = new ArrayList<>();

    private static JsonNode json(String text) {
        return Pieces.body(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private JsonNode translate(String from, String to, String body, Requests.Unknown unknown) {
        return Pieces.body(Requests.write(
                        Format.of(to).orElseThrow(),
                        Requests.read(Format.of(from).orElseThrow(), json(body), unknown, warnings),
                        800,
                        warnings)
                .toString()
                .getBytes(StandardCharsets.UTF_8));
    }

    /** The cases stand in a file: from, to, the client's body, what the engine gets. */
    @ParameterizedTest
    @CsvFileSource(
            resources = "/dialect/requests.csv",
            delimiter = '|',
            numLinesToSkip = 1,
            quoteCharacter = '`',
            maxCharsPerColumn = 8192)
    void aRequestIsExpressedInTheOtherFormat(String from, String to, String body, String expected) {
        assertEquals(json(expected), translate(from, to, body, Requests.Unknown.PASS));
    }

    @ParameterizedTest
    @CsvFileSource(
            resources = "/dialect/refused.csv",
            delimiter = '|',
            numLinesToSkip = 1,
            quoteCharacter = '`',
            maxCharsPerColumn = 8192)
    void whatCannotBeExpressedIsRefusedByName(String from, String to, String body, String field) {
        Untranslatable error =
                assertThrows(Untranslatable.class, () -> translate(from, to, body, Requests.Unknown.REFUSE));
        assertEquals(field, error.field());
        assertTrue(error.getMessage().contains(field), error.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "chat | messages | {'model':'m','max_tokens':9,'seed':7,'messages':[{'role':'user','content':'a'}]} "
                        + "| seed",
                "messages | chat | {'model':'m','max_tokens':9,'top_k':7,'messages':[{'role':'user','content':'a'}]} "
                        + "| top_k",
                "responses | chat | {'model':'m','input':'a','max_tool_calls':2} | max_tool_calls",
                "chat | completions | {'model':'m','messages':[{'role':'user','content':'a'}],'metadata':{'a':'b'}} "
                        + "| metadata",
                "chat | messages | {'model':'m','max_tokens':1100,'reasoning_effort':'high',"
                        + "'messages':[{'role':'user','content':'a'}]} | reasoning_effort"
            })
    void whatIsLeftOutIsSaid(String from, String to, String body, String field) {
        translate(from, to, body, Requests.Unknown.REFUSE);
        assertEquals(1, warnings.size(), warnings.toString());
        assertTrue(warnings.get(0).startsWith(field), warnings.get(0));
    }

    @ParameterizedTest
    @CsvSource({"PASS, true, 0", "DROP, false, 1"})
    void fieldsThatNoTableKnowsFollowTheOperator(Requests.Unknown unknown, boolean there, int warned) {
        JsonNode body = translate(
                "chat",
                "responses",
                "{'model':'m','messages':[{'role':'user','content':'a'}],'novel':{'deep':1}}",
                unknown);
        assertEquals(there, body.has("novel"));
        assertEquals(warned, warnings.size());
    }

    /** No field vanishes silently: each of a format's own fields is carried back to itself. */
    @ParameterizedTest
    @EnumSource(Format.class)
    void everyFieldOfAFormatComesBackAsItWas(Format format) throws IOException {
        JsonNode body =
                JSON.readTree(RequestsTest.class.getResourceAsStream("/dialect/full-" + format.key() + ".json"));
        for (Fields.Field field : Fields.of(format)) {
            assertTrue(
                    field.alias()
                            || !body.at("/" + field.path().replace('.', '/')).isMissingNode(),
                    "the full request lacks " + field.path());
        }
        assertEquals(
                body,
                Requests.write(format, Requests.read(format, body, Requests.Unknown.REFUSE, warnings), 800, warnings));
        assertEquals(List.of(), warnings);
    }

    @Test
    void deepNestingAndTrailingTextAreMalformed() {
        String deep = "{\"a\":" + "[".repeat(Pieces.DEPTH + 1) + "]".repeat(Pieces.DEPTH + 1) + "}";
        assertThrows(Untranslatable.class, () -> json(deep));
        assertThrows(Untranslatable.class, () -> json("{} {}"));
        assertThrows(Untranslatable.class, () -> json("[]"));
        assertThrows(Untranslatable.class, () -> json(""));
    }

    /** The pages of the docs are what the tables print; {@code make docs} writes them. */
    @Test
    void theDocsShowTheTables() throws IOException {
        assertEquals(Files.readString(Path.of("docs/fields.md")), Table.markdown());
        assertEquals(Files.readString(Path.of("docs/errors.md")), Faults.markdown());
    }
}

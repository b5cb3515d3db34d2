package dunlinladder.lifecycle;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The operator's commands, and the error messages for the operator's file and the gateway's configuration. */
class PlanCommandsTest {

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private Path state;
    private Path file;
    private PlanCommands commands;

    @BeforeEach
    void createCommands() throws Exception {
        state = folder.resolve("applied.json");
        file = Files.writeString(folder.resolve("chat.toml"), OperatorsFile.TEXT);
        commands = new PlanCommands(state, Map.of(), new PrintStream(printed));
    }

    @Test
    void planPrintsTheChangesAndApplyMakesThemOnce() throws Exception {
        assertEquals(PlanCommands.CHANGES, commands.plan(file, Optional.empty()));
        assertTrue(printed.toString().contains("+ models.find.class = lookup"));
        assertTrue(Files.notExists(state));
        commands.apply(file);
        assertEquals(PlanCommands.NO_CHANGES, commands.plan(file, Optional.empty()));
        byte[] applied = Files.readAllBytes(state);
        commands.apply(file);
        assertArrayEquals(applied, Files.readAllBytes(state));
        Files.writeString(file, OperatorsFile.TEXT.replace("300", "400").replace("CHAT_KEY", "NEW_KEY"));
        printed.reset();
        assertEquals(PlanCommands.CHANGES, commands.plan(file, Optional.empty()));
        assertEquals(
                "- keys.CHAT_KEY.tenant = acme\n+ keys.NEW_KEY.tenant = acme\n"
                        + "~ models.find.max_tokens = 300 -> 400\n3 changes.\n",
                printed.toString());
    }

    @Test
    void savedPlanIsRejectedWhenTheStateHasChangedSince() throws Exception {
        Path first = folder.resolve("first");
        Path second = folder.resolve("second");
        commands.plan(file, Optional.of(first));
        Files.writeString(file, OperatorsFile.TEXT.replace("300", "400"));
        commands.plan(file, Optional.of(second));
        commands.apply(second);
        assertTrue(assertThrows(InvalidInputException.class, () -> commands.apply(first))
                .getMessage()
                .contains("stale"));
        assertEquals("400", AppliedState.read(state).settings().values().get("models.find.max_tokens"));
    }

    /** The ways in which another state gets the number of the one that a plan was made for. */
    enum Replacement {
        BEGUN_ANEW,
        BEGUN_ANEW_WITH_EQUAL_SETTINGS,
        CHANGED_AFTER_A_COPY_WAS_PUT_BACK,
        EDITED_BY_HAND
    }

    /** Guards against a plan that is applied to a state that only has the number of the one it was made for. */
    @ParameterizedTest
    @EnumSource
    void savedPlanIsRejectedWhenAnotherStateHasTheSameNumber(Replacement replacement) throws Exception {
        Path other = Files.writeString(folder.resolve("other"), OperatorsFile.TEXT.replace("300", "500"));
        commands.apply(file);
        byte[] copy = Files.readAllBytes(state);
        if (replacement == Replacement.CHANGED_AFTER_A_COPY_WAS_PUT_BACK) {
            Files.writeString(file, OperatorsFile.TEXT.replace("300", "350"));
            commands.apply(file);
        }
        Path saved = folder.resolve("saved");
        Files.writeString(file, OperatorsFile.TEXT.replace("300", "400"));
        commands.plan(file, Optional.of(saved));
        Files.delete(state);
        switch (replacement) {
            case BEGUN_ANEW -> commands.apply(other);
            case BEGUN_ANEW_WITH_EQUAL_SETTINGS ->
                commands.apply(Files.writeString(folder.resolve("equal"), OperatorsFile.TEXT));
            case CHANGED_AFTER_A_COPY_WAS_PUT_BACK -> {
                Files.write(state, copy);
                commands.apply(other);
            }
            case EDITED_BY_HAND ->
                Files.writeString(
                        state,
                        new String(copy, StandardCharsets.UTF_8)
                                .replaceFirst("\"checksum\":\\d+,", "")
                                .replace("300", "301"));
        }
        byte[] current = Files.readAllBytes(state);
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> commands.apply(saved));
        assertTrue(error.getMessage().contains("another state with that number"), error.getMessage());
        assertArrayEquals(current, Files.readAllBytes(state));
    }

    @Test
    void savedPlanIsAppliedToACopyOfItsState() throws Exception {
        commands.apply(file);
        byte[] copy = Files.readAllBytes(state);
        Path saved = folder.resolve("saved");
        Files.writeString(file, OperatorsFile.TEXT.replace("300", "400"));
        commands.plan(file, Optional.of(saved));
        Files.delete(state);
        Files.write(state, copy);
        commands.apply(saved);
        assertEquals("400", AppliedState.read(state).settings().values().get("models.find.max_tokens"));
    }

    /** Files of earlier versions have no id and no revision. */
    @Test
    void stateOfAnEarlierVersionIsReadAndItsPlansAreRejected() throws Exception {
        commands.apply(file);
        Files.writeString(state, Files.readString(state).replaceFirst("\"id\":\"[^\"]+\",", ""));
        assertEquals("", AppliedState.read(state).id());
        Files.writeString(file, OperatorsFile.TEXT.replace("300", "400"));
        Path saved = folder.resolve("saved");
        commands.plan(file, Optional.of(saved));
        String plan = Files.readString(saved);
        Files.writeString(saved, plan.replaceFirst("\"base_revision\":\"[^\"]+\",", ""));
        assertTrue(assertThrows(InvalidInputException.class, () -> commands.apply(saved))
                .getMessage()
                .contains("earlier version"));
        Files.writeString(saved, plan);
        commands.apply(saved);
        assertEquals(2, AppliedState.read(state).serial());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "listen = \"127.0.0.1:8090\"|''|listen is missing",
                "8090|x|listen",
                "CHAT_KEY|'\"a-b\"'|environment variable",
                "300|0|models.find.max_tokens",
                "300|1.5|models.find.max_tokens",
                "models.find.class|models.find.sort|unknown key models.find.sort",
                "300|= 1|not TOML",
                "models.find.class = \"lookup\"|''|models.find.class is missing"
            })
    void errorMessageNamesTheFaultyKeyOfTheFile(String original, String replacement, String expected) throws Exception {
        Files.writeString(file, OperatorsFile.TEXT.replace(original, replacement));
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> commands.apply(file));
        assertTrue(error.getMessage().contains(expected), error.getMessage());
        assertTrue(Files.notExists(state));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "x|x|''",
                "127.0.0.1:1|here|listen",
                "'deadline':4|'deadline':0|deadline",
                "'keepalive':30|'keepalive':'long'|keepalive",
                "1024|10|limits.sockets",
                "'zones'|'zonen'|zones",
                "'seed':'8c'|'seed':'xy'|seed",
                "'discovery'|'discover'|discovery",
                "'kinds':['p']|'kinds':'p'|kinds"
            })
    void errorMessageNamesTheFaultyKeyOfTheConfiguration(String original, String replacement, String expected) {
        String text = ("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:2','seed':'8c','limits':{'sockets'"
                        + ":1024},"
                        + "'settings':{'classes':[{'name':'c','objective':1,'deadline':4}],'zones':['a'],'kinds':"
                        + "['p'],"
                        + "'caps':{'keepalive':30},'family-info':{'role-by-kind':['both']}}}")
                .replace(original, replacement);
        JsonObject json = JsonObject.parse(text.replace('\'', '"'));
        if (expected.isEmpty()) {
            assertEquals(10, GatewayConfigReader.read(json, Map.of()).limits().idleSeconds());
        } else {
            InvalidInputException error =
                    assertThrows(InvalidInputException.class, () -> GatewayConfigReader.read(json, Map.of()));
            assertTrue(error.getMessage().contains(expected), error.getMessage());
        }
    }
}

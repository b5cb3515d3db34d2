package dunlinladder.transport.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against text from outside that overflows the stack of the thread that parses it: each test runs on a thread
 * with a small stack.
 */
@Timeout(30)
class JsonNestingTest {

    /** Below the 256 KB that deploy/run.sh sets, of which the callers of a parser have used a part. */
    private static final long STACK_BYTES = 160 * 1024;

    /** A piece of work that may throw anything, an {@link AssertionError} too. */
    private interface Work {
        void run() throws Exception;
    }

    private static void runOnSmallStack(Work work) throws Exception {
        FutureTask<Void> task = new FutureTask<>(() -> {
            work.run();
            return null;
        });
        new Thread(null, task, "small-stack", STACK_BYTES).start();
        task.get();
    }

    private static String nestedArrays(int depth) {
        return "{\"a\":" + "[".repeat(depth - 1) + "]".repeat(depth - 1) + "}";
    }

    private static String nestedObjects(int depth) {
        return "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 100, JsonObject.MAX_NESTING_DEPTH})
    void readsAndWritesTextUpToTheMaximumDepth(int depth) throws Exception {
        runOnSmallStack(() -> {
            for (String text : new String[] {nestedArrays(depth), nestedObjects(depth)}) {
                assertEquals(text, JsonObject.write(JsonObject.parse(text).fields()));
                JsonObjectStream lists = new JsonObjectStream(new ByteArrayInputStream(text.getBytes()), () -> {});
                assertEquals(text, JsonObject.write(lists.next().fields()));
                assertNull(lists.next());
            }
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {JsonObject.MAX_NESTING_DEPTH + 1, 2000, 30_000})
    void rejectsDeeperTextAsInvalidInput(int depth) throws Exception {
        String unclosed = "{\"a\":" + "[".repeat(depth);
        runOnSmallStack(() -> {
            for (String text : new String[] {nestedArrays(depth), nestedObjects(depth), unclosed}) {
                assertThrows(InvalidInputException.class, () -> JsonObject.parse(text));
                JsonObjectStream lists = new JsonObjectStream(new ByteArrayInputStream(text.getBytes()), () -> {});
                assertThrows(InvalidInputException.class, lists::next);
            }
        });
    }

    @Test
    void rejectsTomlThatIsNestedTooDeeply() throws Exception {
        String[] texts = {
            "a = " + "[".repeat(5000), "a = " + "{a=".repeat(5000), "a = " + "[".repeat(900) + "]".repeat(900)
        };
        runOnSmallStack(() -> {
            assertEquals(
                    "{\"a\":[[1]]}",
                    JsonObject.write(JsonObject.parseToml("a = [[1]]").fields()));
            for (String text : texts) {
                assertThrows(InvalidInputException.class, () -> JsonObject.parseToml(text));
            }
        });
    }

    @Test
    void keepsTheNamesAndOrderOfMembers() {
        String text = "{\"b\":{\"x\":[1,{\"y\":2},[]],\"z\":null},\"a\":[true,{},\"t\",-1.5],\"c\":\"last\"}";
        assertEquals(text, JsonObject.write(JsonObject.parse(text).fields()));
        assertEquals(
                "{\"a\":2}",
                JsonObject.write(JsonObject.parse("{\"a\":[1],\"a\":2}").fields()));
    }
}

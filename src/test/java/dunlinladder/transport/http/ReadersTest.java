package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.transport.discovery.EndpointListReader;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.json.JsonObjectStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Discovery's lists. */
class ReadersTest {

    private static final String HOST = "{'host':'s-1','dial':'127.0.0.1:1','site':'b','class':'m2','block':3,"
            + "'health':'leaving','share':0.5,'born_ms':1500}";
    private final EndpointListReader reader = new EndpointListReader(List.of("a", "b"), List.of("m1", "m2"));

    private EndpointUpdate read(String message) {
        return reader.read(JsonObject.parse(message.replace('\'', '"')), false);
    }

    @Test
    void anEntryIsReadInFull() {
        EndpointUpdate news = read("{'seq':4,'whole':false,'hosts':[" + HOST + "]}");
        assertEquals(
                new EndpointUpdate(
                        4,
                        RequestRouter.Scope.CHANGES,
                        List.of(new Engine("s-1", "127.0.0.1:1", 1, 1, 3, Engine.State.LEAVING, 0.5, 1.5))),
                news);
        assertEquals(
                RequestRouter.Scope.COMPLETE,
                read("{'seq':4,'whole':true,'hosts':[]}").scope());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'leaving'|'asleep'|asleep",
                "'site':'b'|'site':'z'|site z",
                "'class':'m2'|'class':'m9'|class m9",
                "'host'|'hose'|host"
            })
    void faultsAreNamed(String part, String instead, String named) {
        String host = HOST.replace(part, instead);
        InvalidInputException error =
                assertThrows(InvalidInputException.class, () -> read("{'seq':1,'hosts':[" + host + "]}"));
        assertTrue(error.getMessage().contains(named), error.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'seq':4}~{'seq':5}~|2|0",
                "{~  'seq': 4,~  'x': [~  ]~}~~~{'seq':5}|2|0",
                "^~^{'seq':4}~^~^{'seq':5}~|2|2",
                "{'seq':4}{'seq':5}|2|0",
                "|0|0",
                "^~^~^|0|2"
            })
    void objectsAreReadHoweverTheyAreLaidOut(String text, int objects, int blank) throws IOException {
        // What stands between two ^ comes as one piece.
        String raw = (text == null ? "" : text).replace('\'', '"').replace('~', '\n');
        List<InputStream> pieces = Arrays.stream(raw.split("\\^"))
                .map(piece -> (InputStream) new ByteArrayInputStream(piece.getBytes()))
                .toList();
        AtomicInteger blanks = new AtomicInteger();
        JsonObjectStream values =
                new JsonObjectStream(new SequenceInputStream(Collections.enumeration(pieces)), blanks::incrementAndGet);
        for (int i = 0; i < objects; i++) {
            assertEquals(4 + i, values.next().integer("seq"));
        }
        assertNull(values.next());
        assertEquals(blank, blanks.get());
    }

    @ParameterizedTest
    @ValueSource(strings = {"[1]", "x", "{\"seq\":", "7"})
    void whatIsNotAnObjectIsRefused(String text) throws IOException {
        JsonObjectStream values = new JsonObjectStream(new ByteArrayInputStream(text.getBytes()), () -> {});
        assertThrows(InvalidInputException.class, values::next);
    }
}

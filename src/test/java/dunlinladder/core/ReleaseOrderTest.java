package dunlinladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which engines are asked to free a KV cache: by zones in turn, the latest to answer first. */
class ReleaseOrderTest {

    private static Engine engine(String id, int zone, Engine.State state) {
        return EngineBuilder.engine(id).address(id).zone(zone).state(state).build();
    }

    private static final List<Engine> LISTED = List.of(
            engine("a1", 0, Engine.State.ACTIVE),
            engine("a2", 0, Engine.State.ACTIVE),
            engine("a3", 0, Engine.State.LEAVING),
            engine("b1", 1, Engine.State.ACTIVE),
            engine("b2", 1, Engine.State.LEAVING),
            engine("c1", 2, Engine.State.ACTIVE));

    @ParameterizedTest
    @CsvSource({
        "a1=9 a2=8 b1=7,      a1 b1 c1 a2 a3 b2", // after a partition of zone 0 the second is asked elsewhere
        "a2=9 c1=7,           a2 c1 b1 a1 a3 b2",
        "a2=3 b2=9,           a2 b1 c1 a1 b2 a3", // draining ones last, however lately they answered
        "c1=1,                c1 a1 b1 a2 a3 b2"
    })
    void zonesTakeTurnsAndDrainingEnginesComeLast(String answered, String order) {
        Map<String, Long> answeredAt = new HashMap<>();
        for (String each : answered.trim().split(" ")) {
            answeredAt.put(each.substring(0, 2), Long.parseLong(each.substring(3)));
        }
        List<String> ids =
                ReleaseOrder.of(LISTED, answeredAt).stream().map(Engine::id).toList();
        assertEquals(List.of(order.split(" ")), ids);
    }

    @Test
    void isEmptyWhenNoEngineIsListed() {
        assertEquals(List.of(), ReleaseOrder.of(List.of(), Map.of("a1", 1L)));
    }
}

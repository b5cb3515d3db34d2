package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many clients have long streams open. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ManyStreamsTest {

    private static final int MEMORY_MEGABYTES = 32;
    /** More than the 64 requests for which a gateway of this memory has threads. */
    private static final int STREAMS = 90;

    /** Guards against open streams that use up the places of other requests (report 906079, b). */
    @Test
    void servesOthersWhileManyStreamsAreOpen() throws Exception {
        List<TestClient> streaming = new ArrayList<>();
        try (RunningGateway gateway =
                RunningGateway.builder().memoryMegabytes(MEMORY_MEGABYTES).start()) {
            while (streaming.size() < STREAMS) {
                TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "9.0", "steady");
                streaming.add(client);
                assertTrue(client.readHead());
                assertEquals(200, client.status, "stream " + streaming.size());
            }
            for (int i = 0; i < 10; i++) {
                assertEquals(200, PlatformGatewayFixture.lookupStatus(gateway));
            }
        } finally {
            for (TestClient client : streaming) {
                client.close();
            }
        }
    }
}

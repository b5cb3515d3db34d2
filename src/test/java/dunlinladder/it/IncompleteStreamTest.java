package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Engines end their streams, properly by HTTP, before the event that completes them. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IncompleteStreamTest extends PlatformGatewayFixture {

    /** Guards against an incomplete stream that reaches its client as a complete one (report 906079). */
    @ParameterizedTest
    @CsvSource({
        "lookup, incomplete after its first event",
        "listing, incomplete after its first event",
        "listing, incomplete within an event",
        "listing, incomplete after its finish reason",
        "listing, incomplete after its usage",
        "listing, incomplete after its error",
        "listing, sized incomplete after its first event",
        "lookup, sized incomplete after its finish reason"
    })
    void omitsTheLastChunkWhenAStreamEndsBeforeItsClosingEvent(String serviceClass, String fault) throws Exception {
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", fault)) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            String body = client.readBody();
            assertTrue(body.startsWith(StubAnswer.delta("one", "null")) && body.endsWith("(cut)"), body);
        }
        assertEquals(1, gateway.decodeRequestCount("POST", fault));
        Await.until(() -> gateway.hasLogged("event=attempt_broken request=" + requestId));
        Await.until(() -> gateway.abandonedAttemptCount() == 1);
        assertEquals(200, lookupStatus());
    }

    /** A stream without any event does not show what the engine did: only a safe request may run again. */
    @ParameterizedTest
    @CsvSource({"lookup, 503, 3", "listing, 502, 1"})
    void retriesOnlySafeRequestsWhenAStreamEndsBeforeItsFirstEvent(String serviceClass, int status, int decodeCount)
            throws Exception {
        String fault = "incomplete before its first event";
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", fault)) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
            assertEquals(decodeCount, gateway.decodeRequestCount("POST", fault));
        }
    }
}

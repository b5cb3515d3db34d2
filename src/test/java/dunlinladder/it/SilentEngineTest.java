package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decode engines fall silent under connections that are kept to them: what is written is accepted, and not read. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SilentEngineTest {

    /** Above the rule's 0.8 s, as the machine may be busy, and far below the time that a client waits. */
    private static final double HELD_SECONDS = 1.2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final String requestId = RunningGateway.nextRequestId();
    private final StubServer first = new StubServer(StubServer.Role.DECODE);
    private final StubServer second = new StubServer(StubServer.Role.DECODE);
    private final FaultyLink toFirst = new FaultyLink(first.port());
    private final FaultyLink toSecond = new FaultyLink(second.port());
    private RunningGateway gateway;

    SilentEngineTest() throws IOException {}

    /** In which way the engines fall silent. */
    enum Silence {
        /** New connections come up, nothing is read. */
        FROZEN,
        /** New connections never come up. */
        CUT_OFF
    }

    @BeforeEach
    void keepAConnectionToEachEngine() throws IOException {
        gateway = RunningGateway.builder()
                .decodeAddresses(List.of(toFirst.address(), toSecond.address()))
                .start();
        while (first.receivedRequests.isEmpty() || second.receivedRequests.isEmpty()) {
            assertEquals(200, PlatformGatewayFixture.lookupStatus(gateway));
        }
    }

    @AfterEach
    void closeAll() throws IOException {
        gateway.close();
        for (AutoCloseable part : List.of(toFirst, toSecond, first, second)) {
            try {
                part.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }

    private void fallSilent(Silence silence) throws IOException {
        for (FaultyLink link : List.of(toFirst, toSecond)) {
            if (silence == Silence.FROZEN) {
                link.fallSilent(Set.of(FaultyLink.Direction.TO_SERVER));
            } else {
                link.cutOff();
            }
        }
    }

    /** Incident 2026-12-02, silent engines: the KV cache was held until the client's deadline. */
    @ParameterizedTest
    @EnumSource
    void releasesTheCacheOfAnUnsafeRequestInTime(Silence silence) throws Exception {
        assertReleasedInTime(silence, "listing", "9.0");
    }

    /** Each attempt of a safe class is given up after a while, and none of them has arrived. */
    @ParameterizedTest
    @EnumSource
    void releasesTheCacheOfASafeRequestInTime(Silence silence) throws Exception {
        assertReleasedInTime(silence, "lookup", "4.0");
    }

    private void assertReleasedInTime(Silence silence, String serviceClass, String timeout) throws Exception {
        fallSilent(silence);
        try (TestClient client = gateway.post(requestId, serviceClass, timeout, "plain")) {
            Await.until(() -> gateway.prefillEngine.requestCount("DELETE", requestId) > 0);
            double held = secondsBetween("POST", "DELETE");
            boolean alarm = gateway.hasLogged("event=invariant_violated");
            assertTrue(held < HELD_SECONDS, "held for " + held + " s, alarm raised: " + alarm);
            assertTrue(client.readHead());
        }
    }

    /** What was written arrives late and finds no KV cache: it has not run, and may go on in its class and its time. */
    @ParameterizedTest
    @ValueSource(strings = {"listing", "lookup"})
    void servesWhatArrivesBehindTheRelease(String serviceClass) throws Exception {
        first.missingCacheFor = this::isReleased;
        second.missingCacheFor = this::isReleased;
        fallSilent(Silence.CUT_OFF);
        try (TestClient client = gateway.post(requestId, serviceClass, "9.0", "plain")) {
            Await.until(() -> gateway.prefillEngine.requestCount("DELETE", requestId) > 0);
            toFirst.restore();
            toSecond.restore();
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            assertEquals(2, gateway.prefillEngine.requestCount("POST", "plain") - warmUpRequests());
        }
    }

    private long warmUpRequests() {
        return gateway.prefillEngine.receivedRequests.stream()
                .filter(request -> request.method().equals("POST") && !isAbout(request))
                .count();
    }

    /** Until the next prefill the KV cache is gone. */
    private boolean isReleased(String id) {
        List<ReceivedRequest> atPrefill = gateway.prefillEngine.receivedRequests.stream()
                .filter(request -> request.target().endsWith(id)
                        || id.equals(request.headers().get("X-Request-ID")))
                .toList();
        return atPrefill.get(atPrefill.size() - 1).method().equals("DELETE");
    }

    private boolean isAbout(ReceivedRequest request) {
        return request.target().endsWith(requestId)
                || requestId.equals(request.headers().get("X-Request-ID"));
    }

    private double secondsBetween(String firstMethod, String secondMethod) {
        return (receivedAt(secondMethod) - receivedAt(firstMethod)) / NANOS_PER_SECOND;
    }

    private long receivedAt(String method) {
        return gateway.prefillEngine.receivedRequests.stream()
                .filter(request -> request.method().equals(method) && isAbout(request))
                .findFirst()
                .orElseThrow()
                .receivedNanos();
    }
}

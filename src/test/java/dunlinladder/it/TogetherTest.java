package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three started gateways before one set of engines, where what they do together is the point. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TogetherTest {

    private final List<RunningGateway> gateways = new ArrayList<>();
    private RunningGateway first;

    @BeforeEach
    void start() throws Exception {
        first = RunningGateway.builder().start();
        gateways.add(first);
        gateways.add(first.startPeer());
        gateways.add(first.startPeer());
    }

    @AfterEach
    void stop() throws Exception {
        // The first one's stand-ins are all others' too.
        for (int i = gateways.size() - 1; i >= 0; i--) {
            gateways.get(i).close();
        }
    }

    private static int ask(RunningGateway gateway, String body) throws Exception {
        try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "5.0", body)) {
            assertTrue(client.readHead());
            client.readBody();
            return client.status;
        }
    }

    /** Later than the settings' second after discovery has told it, none sends to a writer that draining. */
    @Test
    void everyGatewayStopsSendingToADrainingEngine() throws Exception {
        for (RunningGateway gateway : gateways) {
            assertEquals(200, ask(gateway, "before"));
        }
        Await.until(() -> first.discovery.receivedRequests.size() >= gateways.size());
        StubServer draining = first.decodeEngines.get(0);
        first.discovery.publish(RunningGateway.decodeDelta(2, "leaving", draining));
        long latest = System.nanoTime() + 1_000_000_000L;
        int served = 0;
        while (System.nanoTime() < latest + 500_000_000L) {
            for (RunningGateway gateway : gateways) {
                served += ask(gateway, "after") == 200 ? 1 : 0;
            }
        }
        assertTrue(served > 0);
        assertEquals(served, first.decodeRequestCount("POST", "after"));
        assertEquals(
                0,
                draining.receivedRequests.stream()
                        .filter(request -> request.method().equals("POST") && request.receivedNanos() > latest)
                        .count());
    }

    /** Nine in ten processes that start together are ready within 10 s, all within the limit of this class. */
    @Test
    void nineInTenAreReadyInTimeWhenTheyStartTogether() throws Exception {
        List<Future<Double>> starts = new ArrayList<>();
        ExecutorService pool = Executors.newFixedThreadPool(10);
        for (int i = 0; i < 10; i++) {
            starts.add(pool.submit(() -> {
                long from = System.nanoTime();
                RunningGateway started = first.startPeer();
                synchronized (gateways) {
                    gateways.add(started);
                }
                try (TestClient up = new TestClient(started.port).send("GET", "/up", "", "")) {
                    assertTrue(up.readHead());
                    assertEquals(200, up.status);
                }
                return (System.nanoTime() - from) / 1e9;
            }));
        }
        int inTime = 0;
        for (Future<Double> start : starts) {
            inTime += start.get() <= 10 ? 1 : 0;
        }
        pool.shutdown();
        assertTrue(inTime >= 9, inTime + " of 10");
    }

    /** One that is killed with a read and a stream out costs its own clients alone. */
    @Test
    void disturbsOnlyItsOwnClientsWhenAGatewayIsKilled() throws Exception {
        RunningGateway killed = gateways.get(1);
        TestClient reading = killed.post(RunningGateway.nextRequestId(), "listing", "5.0", "hang-prefill");
        TestClient streaming = killed.post(RunningGateway.nextRequestId(), "listing", "5.0", "pause");
        assertTrue(streaming.readHead());
        Await.until(() -> first.prefillEngine.requestCount("POST", "hang-prefill") == 1);
        killed.process.destroyForcibly().waitFor();
        assertEquals(200, ask(gateways.get(0), "during"));
        assertEquals(200, ask(gateways.get(2), "during"));
        assertFalse(reading.readHead(), "its connection is reset");
        assertTrue(streaming.readBody().endsWith("(cut)"));
        Await.until(() -> first.abandonedAttemptCount() == 2);
        assertEquals(1, first.prefillEngine.requestCount("POST", "hang-prefill"), "nobody sends it again");
        gateways.set(1, first.startPeer());
        assertEquals(200, ask(gateways.get(1), "again"));
    }

    /** One that is stopped (SIGSTOP) for a while takes up its work; what the others do goes on meanwhile. */
    @Test
    void resumesWhenAStoppedGatewayContinues() throws Exception {
        RunningGateway stopped = gateways.get(2);
        stopped.signal("STOP");
        try (TestClient waits = stopped.post(RunningGateway.nextRequestId(), "listing", "5.0", "asleep")) {
            assertEquals(200, ask(gateways.get(0), "awake"));
            assertEquals(200, ask(gateways.get(1), "awake"));
            assertEquals(0, first.prefillEngine.requestCount("POST", "asleep"));
            stopped.signal("CONT");
            assertTrue(waits.readHead());
            assertEquals(200, waits.status);
        }
        assertEquals(1, first.decodeRequestCount("POST", "asleep"));
    }
}

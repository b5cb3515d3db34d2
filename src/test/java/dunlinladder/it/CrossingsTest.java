package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What comes between two lines of the program, each crossing forced; docs/races.md lists them. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CrossingsTest {

    private final String id = RunningGateway.nextRequestId();
    private RunningGateway gateway;

    @BeforeEach
    void start() throws Exception {
        gateway = RunningGateway.builder().start();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
    }

    private int plain(TestClient client, String request) throws IOException {
        client.send("POST", "/v1/chat/completions", RunningGateway.platformHeaders(request, "lookup", "4.0"), "plain");
        assertTrue(client.readHead());
        client.readBody();
        return client.status;
    }

    /** Its end stands behind requests that are not read, and the one that was taken would run on unheard. */
    @ParameterizedTest
    @CsvSource({"0, false", "1, false", "2, false", "50, false", "2000, false", "0, true", "2, true", "50, true"})
    void whoSendsMoreThanOneAndLeavesEndsItsAttempt(int more, boolean reset) throws Exception {
        try (TestClient hasty = gateway.post(id, "listing", "600.0", "hang-prefill")) {
            for (int i = 0; i < more; i++) {
                hasty.send(
                        "POST",
                        "/v1/chat/completions",
                        RunningGateway.platformHeaders(RunningGateway.nextRequestId(), "listing", "600.0"),
                        "hasty");
            }
            Await.until(() -> gateway.prefillEngine.requestCount("POST", "hang-prefill") == 1);
            // Served by the same thread, which has looked at what was sent here by then.
            for (int i = 0; i < 3; i++) {
                assertEquals(200, ask(gateway));
            }
            if (reset) {
                hasty.socket.setSoLinger(true, 0);
            }
        }
        // A read that takes long may have been given up and begun again before: none is out in the end.
        Await.until(() -> gateway.releaseCount(id) > 0
                && gateway.prefillEngine.abandonedRequests.size()
                        == gateway.prefillEngine.requestCount("POST", "hang-prefill"));
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "hasty"));
    }

    /**
     * The other half of a request comes once the gateway has been told to end and has closed what rests: it is refused,
     * which is honest, as no engine has seen it; taken, it might be open at the kill. A program that did not wait for
     * it would have ended long before the time that is waited here.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 60, 520})
    void aRequestThatIsHalfHereAtTheEndIsAnswered(int before) throws Exception {
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                + RunningGateway.platformHeaders(id, "lookup", "4.0") + "Content-Length: 400\r\n\r\n" + "x".repeat(400);
        try (TestClient slow = new TestClient(gateway.port);
                TestClient resting = new TestClient(gateway.port);
                TestClient up = new TestClient(gateway.port)) {
            assertEquals(200, plain(resting, RunningGateway.nextRequestId()));
            gateway.process.destroy();
            do {
                up.send("GET", "/up", "", "");
                assertTrue(up.readHead());
                up.readBody();
            } while (up.status == 200);
            slow.socket.getOutputStream().write(request.substring(0, before).getBytes());
            assertFalse(resting.readHead(), "a resting connection closes");
            assertFalse(gateway.process.waitFor(400, TimeUnit.MILLISECONDS));
            slow.socket.getOutputStream().write(request.substring(before).getBytes());
            assertTrue(slow.readHead());
            assertEquals(503, slow.status);
            assertEquals("close", slow.headers.get("Connection"));
            slow.readBody();
            assertFalse(slow.readHead());
        }
        assertEquals(0, gateway.process.waitFor());
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "xxx"));
    }

    /**
     * The heads of these streams went out before the end was told and promise nothing; each client sends its next
     * request as soon as it has the last chunk. Taken, it would be lost where engines hang until the kill.
     */
    @Test
    void aStreamThatEndsAfterTheEndWasToldTakesItsConnectionAlong() throws Exception {
        List<TestClient> streaming = new ArrayList<>();
        try (TestClient resting = new TestClient(gateway.port)) {
            assertEquals(200, plain(resting, RunningGateway.nextRequestId()));
            for (int i = 0; i < 8; i++) {
                TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "9.0", "in steps");
                streaming.add(client);
                assertTrue(client.readHead());
            }
            gateway.process.destroy();
            assertFalse(resting.readHead(), "a resting connection closes");
            gateway.confirmEvents(20);
            for (TestClient each : streaming) {
                assertTrue(each.readBody().endsWith("[DONE]\n\n"));
                try {
                    each.send(
                            "POST",
                            "/v1/chat/completions",
                            RunningGateway.platformHeaders(RunningGateway.nextRequestId(), "listing", "9.0"),
                            "next");
                    assertFalse(each.readHead());
                } catch (SocketException e) {
                    // A reset is an end too.
                }
            }
        }
        assertEquals(0, gateway.process.waitFor());
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "next"));
    }

    /**
     * Requests come on resting connections all through the moments in which these are closed: each is answered whole,
     * or its connection ends and no engine has seen it, so that its client may send it again.
     */
    @Test
    void aRequestInTheMomentOfACloseIsAnsweredOrNeverSentOn() throws Exception {
        Random random = new Random(7);
        List<Thread> clientThreads = new ArrayList<>();
        Queue<String> lost = new ConcurrentLinkedQueue<>();
        List<TestClient> testClients = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            TestClient client = new TestClient(gateway.port);
            assertEquals(200, plain(client, RunningGateway.nextRequestId()));
            testClients.add(client);
        }
        gateway.process.destroy();
        long from = System.nanoTime();
        for (TestClient client : testClients) {
            long at = from + (long) ((0.55 + random.nextDouble() * 0.15) * 1e9);
            String own = RunningGateway.nextRequestId();
            Thread clientThread = new Thread(() -> {
                while (System.nanoTime() < at) {
                    Thread.onSpinWait();
                }
                try (client) {
                    client.send(
                            "POST",
                            "/v1/chat/completions",
                            RunningGateway.platformHeaders(own, "lookup", "4.0"),
                            "moment");
                    if (client.readHead() && client.readBody().endsWith("[DONE]\n\n")) {
                        return;
                    }
                } catch (IOException e) {
                    // A reset is an end too.
                }
                if (gateway.prefillEngine.receivedRequests.stream()
                        .anyMatch(s -> own.equals(s.headers().get("X-Request-ID")))) {
                    lost.add(own);
                }
            });
            clientThread.start();
            clientThreads.add(clientThread);
        }
        for (Thread each : clientThreads) {
            each.join();
        }
        assertEquals(0, gateway.process.waitFor());
        assertEquals(List.of(), List.copyOf(lost));
    }

    /** No event waits for the next one: each is written once the client has seen the one before. */
    @Test
    void eachEventIsPassedOnBeforeTheNextIsWritten() throws Exception {
        try (TestClient client = gateway.post(id, "listing", "9.0", "in steps")) {
            assertTrue(client.readHead());
            StringBuilder seen = new StringBuilder();
            for (int i = 1; i < 20; i++) {
                String event = i == 1 ? StubAnswer.delta("one", "null") : StubAnswer.delta("step " + (i - 1), "null");
                while (!seen.toString().endsWith(event)) {
                    int next = client.socket.getInputStream().read();
                    assertTrue(next >= 0, "ended after " + seen);
                    seen.append(next == '\r' ? "" : (char) next);
                }
                int number = i;
                gateway.confirmEvents(number);
            }
            // The end of the chunk that was read byte by byte.
            assertEquals("", RawHttp.readLine(client.socket.getInputStream()));
            assertTrue(client.readBody().endsWith("[DONE]\n\n"));
        }
    }

    /**
     * Clients that rest, say nothing or half a head take every descriptor meant for clients while discovery is down: at
     * its return its news is heard, engines are reached and later clients served.
     */
    @Test
    void descriptorsTakenWhileDiscoveryIsDownCostNobodyElse() throws Exception {
        List<TestClient> idle = new ArrayList<>();
        try (RunningGateway narrow =
                RunningGateway.builder().descriptorLimit(256).start()) {
            Await.until(() -> narrow.discovery.receivedRequests.size() == 1);
            narrow.discovery.setUnresponsive(true);
            narrow.discovery.closeConnections();
            Await.until(() -> narrow.discovery.receivedRequests.size() >= 2);
            for (int i = 0; i < 600; i++) {
                TestClient client = new TestClient(narrow.port);
                idle.add(client);
                if (i % 3 == 0) {
                    client.socket.getOutputStream().write("POST /v1/chat".getBytes());
                }
            }
            assertEquals(200, ask(narrow));
            narrow.discovery.publish("{\"seq\":2,\"whole\":false,\"hosts\":["
                    + RunningGateway.endpoint(narrow.decodeEngines.get(0), "answer", "leaving") + ","
                    + RunningGateway.endpoint(narrow.decodeEngines.get(1), "answer", "leaving") + "]}");
            narrow.discovery.setUnresponsive(false);
            while (ask(narrow) == 200) {
                Thread.yield();
            }
            narrow.discovery.publish("{\"seq\":3,\"whole\":false,\"hosts\":["
                    + RunningGateway.endpoint(narrow.decodeEngines.get(0), "answer", "active") + "]}");
            while (ask(narrow) != 200) {
                Thread.yield();
            }
            assertEquals(
                    0,
                    narrow.logLines.stream()
                            .filter(l -> l.contains("Too many open files"))
                            .count());
        } finally {
            for (TestClient each : idle) {
                each.close();
            }
        }
    }

    private int ask(RunningGateway gateway) throws IOException {
        try (TestClient client = new TestClient(gateway.port)) {
            return plain(client, RunningGateway.nextRequestId());
        }
    }
}

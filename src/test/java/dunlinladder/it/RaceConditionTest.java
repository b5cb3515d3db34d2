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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races between the gateway and its peers; docs/races.md lists them. The tests force the order of events, except for
 * one test, which sends many requests at random times.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RaceConditionTest extends PlatformGatewayFixture {

    /**
     * The end of the client's input comes after its pipelined requests. A gateway that did not read those would not see
     * that the client has disconnected, and the accepted request would run on without a client.
     */
    @ParameterizedTest
    @CsvSource({"0, false", "1, false", "2, false", "50, false", "2000, false", "0, true", "2, true", "50, true"})
    void abandonsTheAttemptWhenAPipeliningClientDisconnects(int pipelined, boolean byReset) throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "600.0", "hang-prefill")) {
            for (int i = 0; i < pipelined; i++) {
                send(client, RunningGateway.nextRequestId(), "listing", "600.0", "pipelined");
            }
            Await.until(() -> gateway.prefillEngine.requestCount("POST", "hang-prefill") == 1);
            // When these lookups are answered, the thread that serves them has read the pipelined requests too.
            for (int i = 0; i < 3; i++) {
                assertEquals(200, lookupStatus());
            }
            if (byReset) {
                client.socket.setSoLinger(true, 0);
            }
        }
        // The gateway may have given up a slow prefill and started another one. In the end all of them are abandoned.
        Await.until(() -> gateway.releaseCount(requestId) > 0
                && gateway.prefillEngine.abandonedRequests.size()
                        == gateway.prefillEngine.requestCount("POST", "hang-prefill"));
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "pipelined"));
    }

    /** Guards against a second run of a request that comes once more after its client has left (report 906079, d). */
    @Test
    void doesNotRunAnUnsafeRequestThatComesAgainAfterItsClientLeft() throws Exception {
        leaveDuringTheAnswer("listing");
        for (int i = 0; i < 5; i++) {
            assertEquals(400, statusOfRepeat("listing"));
        }
        Await.until(() -> gateway.hasLogged("event=request_repeated request=" + requestId));
        assertEquals(0, gateway.decodeRequestCount("POST", "plain"));
    }

    @Test
    void runsASafeRequestThatComesAgainAfterItsClientLeft() throws Exception {
        leaveDuringTheAnswer("lookup");
        int status = 400;
        while (status == 400) {
            // The id is in use until the thread of the first request has ended.
            status = statusOfRepeat("lookup");
        }
        assertEquals(200, status);
    }

    private void leaveDuringTheAnswer(String serviceClass) throws Exception {
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", "pause")) {
            assertTrue(client.readHead());
        }
        Await.until(() -> gateway.abandonedAttemptCount() == 1);
    }

    private int statusOfRepeat(String serviceClass) throws IOException {
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", "plain")) {
            assertTrue(client.readHead());
            return client.status;
        }
    }

    /**
     * The second half of a request arrives after SIGTERM, when the gateway has closed its idle connections. The request
     * is rejected, and a retry is harmless, as no engine has received it. An accepted request might still be open at
     * SIGKILL. A gateway that did not wait for the second half would have exited long before this test sends it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 60, 520})
    void rejectsARequestThatIsHalfReceivedAtTermination(int bytesBefore) throws Exception {
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                + RunningGateway.platformHeaders(requestId, "lookup", "4.0") + "Content-Length: 400\r\n\r\n"
                + "x".repeat(400);
        try (TestClient slow = new TestClient(gateway.port);
                TestClient idle = new TestClient(gateway.port);
                TestClient up = new TestClient(gateway.port)) {
            assertEquals(200, lookupStatus(idle));
            gateway.process.destroy();
            do {
                up.send("GET", "/up", "", "");
                assertTrue(up.readHead());
                up.readBody();
            } while (up.status == 200);
            slow.socket
                    .getOutputStream()
                    .write(request.substring(0, bytesBefore).getBytes());
            assertFalse(idle.readHead(), "an idle connection must be closed");
            assertFalse(gateway.process.waitFor(400, TimeUnit.MILLISECONDS));
            slow.socket.getOutputStream().write(request.substring(bytesBefore).getBytes());
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
     * The response heads of these streams were sent before SIGTERM, so they do not announce that the connection closes.
     * Each client sends its next request as soon as it has the last chunk. If the gateway accepted that request and the
     * engine hung, the request would be lost at SIGKILL.
     */
    @Test
    void closesTheConnectionWhenAStreamEndsAfterTermination() throws Exception {
        List<TestClient> streaming = new ArrayList<>();
        try (TestClient idle = new TestClient(gateway.port)) {
            assertEquals(200, lookupStatus(idle));
            for (int i = 0; i < 8; i++) {
                TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "9.0", "in steps");
                streaming.add(client);
                assertTrue(client.readHead());
            }
            gateway.process.destroy();
            assertFalse(idle.readHead(), "an idle connection must be closed");
            gateway.confirmEvents(20);
            for (TestClient each : streaming) {
                assertTrue(each.readBody().endsWith("[DONE]\n\n"));
                try {
                    send(each, RunningGateway.nextRequestId(), "listing", "9.0", "next");
                    assertFalse(each.readHead());
                } catch (SocketException e) {
                    // A reset ends the connection as well.
                }
            }
        }
        assertEquals(0, gateway.process.waitFor());
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "next"));
    }

    /**
     * Requests arrive on idle connections throughout the time in which the gateway closes them. Each request gets a
     * complete answer, or its connection ends and no engine has received it, so that its client may send it again.
     */
    @Test
    void answersOrNeverForwardsARequestThatRacesWithAClose() throws Exception {
        // Given clients with idle connections
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            TestClient client = new TestClient(gateway.port);
            assertEquals(200, lookupStatus(client));
            clients.add(client);
        }
        // When each sends at its own time, spread over the time in which the gateway closes the connections
        gateway.process.destroy();
        long terminatedAt = System.nanoTime();
        Random random = new Random(7);
        Queue<String> lostRequests = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (TestClient client : clients) {
            long sendAt = terminatedAt + (long) ((0.55 + random.nextDouble() * 0.15) * 1e9);
            Thread thread = new Thread(() -> sendAt(sendAt, client, lostRequests));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        // Then none was lost
        assertEquals(0, gateway.process.waitFor());
        assertEquals(List.of(), List.copyOf(lostRequests));
    }

    /**
     * Sends a request at a time by {@link System#nanoTime}. A request that an engine received and that has no complete
     * answer is recorded as lost.
     */
    private void sendAt(long sendAtNanos, TestClient idle, Queue<String> lostRequests) {
        String ownId = RunningGateway.nextRequestId();
        while (System.nanoTime() < sendAtNanos) {
            Thread.onSpinWait();
        }
        try (idle) {
            send(idle, ownId, "lookup", "4.0", "moment");
            if (idle.readHead() && idle.readBody().endsWith("[DONE]\n\n")) {
                return;
            }
        } catch (IOException e) {
            // A reset ends the connection as well.
        }
        if (gateway.prefillEngine.receivedRequests.stream()
                .anyMatch(request -> ownId.equals(request.headers().get("X-Request-ID")))) {
            lostRequests.add(ownId);
        }
    }

    /**
     * The gateway must not hold an event back until the next one: the engine writes each event only after the client
     * has received the one before.
     */
    @Test
    void forwardsEachEventBeforeTheNextIsWritten() throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "9.0", "in steps")) {
            assertTrue(client.readHead());
            StringBuilder received = new StringBuilder();
            for (int i = 1; i < 20; i++) {
                String event = i == 1 ? StubAnswer.delta("one", "null") : StubAnswer.delta("step " + (i - 1), "null");
                while (!received.toString().endsWith(event)) {
                    int next = client.socket.getInputStream().read();
                    assertTrue(next >= 0, "ended after " + received);
                    received.append(next == '\r' ? "" : (char) next);
                }
                int number = i;
                gateway.confirmEvents(number);
            }
            // The line break at the end of the chunk that was read byte by byte.
            assertEquals("", RawHttp.readLine(client.socket.getInputStream()));
            assertTrue(client.readBody().endsWith("[DONE]\n\n"));
        }
    }

    /**
     * While discovery is down, idle clients that send nothing or half a head use up all descriptors for clients. When
     * discovery is back, its updates are applied, engines can be reached and later clients are served.
     */
    @Test
    void servesOthersWhenIdleClientsTakeDescriptorsWhileDiscoveryIsDown() throws Exception {
        List<TestClient> idleClients = new ArrayList<>();
        try (RunningGateway limited =
                RunningGateway.builder().descriptorLimit(256).start()) {
            Await.until(() -> limited.discovery.receivedRequests.size() == 1);
            limited.discovery.setUnresponsive(true);
            limited.discovery.closeConnections();
            Await.until(() -> limited.discovery.receivedRequests.size() >= 2);
            for (int i = 0; i < 600; i++) {
                TestClient client = new TestClient(limited.port);
                idleClients.add(client);
                if (i % 3 == 0) {
                    client.socket.getOutputStream().write("POST /v1/chat".getBytes());
                }
            }
            assertEquals(200, lookupStatus(limited));
            limited.discovery.publish(RunningGateway.decodeDelta(
                    2, "leaving", limited.decodeEngines.get(0), limited.decodeEngines.get(1)));
            limited.discovery.setUnresponsive(false);
            while (lookupStatus(limited) == 200) {
                Thread.yield();
            }
            limited.discovery.publish(RunningGateway.decodeDelta(3, "active", limited.decodeEngines.get(0)));
            while (lookupStatus(limited) != 200) {
                Thread.yield();
            }
            assertEquals(
                    0,
                    limited.logLines.stream()
                            .filter(line -> line.contains("Too many open files"))
                            .count());
        } finally {
            for (TestClient each : idleClients) {
                each.close();
            }
        }
    }
}

package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests each of the platform's rules against a running gateway. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PlatformRulesTest extends PlatformGatewayFixture {

    @Test
    void forwardsRequestAndStreamUnchanged() throws Exception {
        try (TestClient client = gateway.post(requestId, "lookup", "4.000", "{\"odd\" : 1}")) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            assertEquals(
                    StubAnswer.delta("one", "null") + StubAnswer.delta(" two", "\"stop\"")
                            + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
                            + "data: [DONE]\n\n",
                    client.readBody());
        }
        ReceivedRequest read = gateway.prefillEngine.receivedRequests.get(0);
        assertEquals(
                "POST /v1/chat/completions?trace=1 {\"odd\" : 1}",
                read.method() + " " + read.target() + " " + read.body());
        assertEquals(requestId, read.headers().get("X-Request-ID"));
        double left = Double.parseDouble(read.headers().get("X-Timeout"));
        // The attempt ends a little before the client's timeout, so that the client has its answer in time.
        assertTrue(left > 0 && left <= 3.96, "X-Timeout " + left);
        assertEquals(1, gateway.decodeRequestCount("POST", "odd"));
    }

    @ParameterizedTest
    @CsvSource({
        "listing, reset-decode, 502, 1",
        "listing, error-decode, 502, 1",
        "listing, busy-decode, 200, 3",
        "listing, noise-decode, 502, 1",
        "listing, endless-decode, 502, 1",
        "listing, spoilt opening, 502, 1",
        "lookup, noise-decode, 503, 3",
        "lookup, reset-decode, 503, 3",
        "lookup, error-decode, 503, 3",
        "listing, reset-prefill, 503, 0"
    })
    void retriesOnlyWhenTheRequestNeverRanOrIsIdempotent(String serviceClass, String fault, int status, int decodeCount)
            throws Exception {
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", fault)) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
            assertEquals(status == 503, client.headers.containsKey("Retry-After"));
            client.readBody();
            assertEquals(decodeCount, gateway.decodeRequestCount("POST", fault));
        }
    }

    @ParameterizedTest
    @CsvSource({"hang-prefill, listing, 503", "hang-decode, listing, 504", "hang-decode, lookup, 503"})
    void answersByTheDeadlineWhenAnEngineIsSilent(String fault, String serviceClass, int status) throws Exception {
        try (TestClient client = gateway.post(requestId, serviceClass, "0.6", fault)) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
        }
        Await.until(() -> gateway.abandonedAttemptCount() > 0);
        Await.until(() -> gateway.releaseCount(requestId) > 0);
    }

    @Test
    void omitsTheLastChunkWhenAStreamBreaks() throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "5.0", "cut later")) {
            assertTrue(client.readHead());
            gateway.confirmFirstEvent();
            String body = client.readBody();
            assertTrue(body.startsWith(StubAnswer.delta("one", "null")) && body.endsWith("(cut)"), body);
        }
        assertEquals(1, gateway.decodeRequestCount("POST", "cut"));
    }

    /**
     * A client that retries a broken stream is served like a client with a new request, even in a class whose requests
     * must not run twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"lookup", "listing"})
    void servesTheRetryOfABrokenStreamAsANewRequest(String serviceClass) throws Exception {
        try (TestClient client = gateway.post(requestId, serviceClass, "5.0", "cut later")) {
            assertTrue(client.readHead());
            gateway.confirmFirstEvent();
            assertTrue(client.readBody().endsWith("(cut)"));
        }
        String retryId = RunningGateway.nextRequestId();
        try (TestClient client = new TestClient(gateway.port)
                .send(
                        "POST",
                        "/v1/chat/completions",
                        RunningGateway.platformHeaders(retryId, serviceClass, "5.0") + "X-Retried: again\r\n",
                        "the rest")) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            assertTrue(client.readBody().endsWith("data: [DONE]\n\n"));
        }
        assertEquals(
                List.of(retryId),
                gateway.prefillEngine.receivedRequests.stream()
                        .filter(request -> request.body().equals("the rest"))
                        .map(request -> request.headers().get("X-Request-ID"))
                        .toList());
        assertEquals(1, gateway.decodeRequestCount("POST", "the rest"));
    }

    /**
     * A stream that becomes malformed or silent after its first event ends the client's connection long before the
     * client's timeout.
     */
    @ParameterizedTest
    @ValueSource(strings = {"spoilt size", "spoilt huge", "spoilt fit", "spoilt silence"})
    void omitsTheLastChunkWhenAStreamIsMalformedOrSilent(String fault) throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "600.0", fault)) {
            assertTrue(client.readHead());
            String body = client.readBody();
            assertTrue(body.startsWith(StubAnswer.delta("one", "null")) && body.endsWith("(cut)"), body);
        }
        Await.until(() -> gateway.decodeEngines.stream().anyMatch(engine -> engine.abandonedRequests.contains(fault)));
        assertEquals(1, gateway.decodeRequestCount("POST", fault));
    }

    /** Guards against a long answer that is cut off while its engine still writes it slowly (report 906079, a). */
    @Test
    void forwardsAnEventThatItsEngineWritesSlowly() throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "5.0", "trickled")) {
            assertTrue(client.readHead());
            assertTrue(client.readBody().endsWith("data: [DONE]\n\n"));
        }
        assertEquals(1, gateway.decodeRequestCount("POST", "trickled"));
    }

    /**
     * Guards against one engine's malformed event that ends all other streams and, from then on, all traffic to
     * engines: an event of 2,000 opening brackets overflowed the stack of the thread that serves all engines.
     */
    @Test
    void keepsOtherStreamsWhenAnEventIsNestedTooDeeply() throws Exception {
        List<TestClient> streaming = new ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                TestClient client = gateway.post(RunningGateway.nextRequestId(), "lookup", "4.0", "in steps");
                streaming.add(client);
                assertTrue(client.readHead());
            }
            try (TestClient client = gateway.post(requestId, "listing", "5.0", "spoilt nesting")) {
                assertTrue(client.readHead());
                assertEquals(502, client.status);
            }
            gateway.confirmEvents(Integer.MAX_VALUE);
            for (TestClient client : streaming) {
                assertTrue(client.readBody().endsWith("data: [DONE]\n\n"));
            }
            assertEquals(200, lookupStatus());
        } finally {
            for (TestClient client : streaming) {
                client.close();
            }
        }
        assertEquals(1, gateway.decodeRequestCount("POST", "spoilt nesting"));
    }

    /** Engines that close idle connections when the next request arrives on them make at most one request fail. */
    @Test
    void losesAtMostOneRequestWhenIdleConnectionsBreakOnReuse() throws Exception {
        int failed = 0;
        for (int i = 0; i < 20; i++) {
            try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "9.0", "stale")) {
                assertTrue(client.readHead());
                failed += client.status == 200 ? 0 : 1;
                client.readBody();
            }
        }
        assertTrue(failed <= 1, failed + " of 20 failed");
    }

    @Test
    void ignoresExtraResponsesOfAnEngine() throws Exception {
        for (int i = 0; i < 20; i++) {
            try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "lookup", "4.0", "interim twice")) {
                assertTrue(client.readHead());
                assertEquals(200, client.status);
                String body = client.readBody();
                assertTrue(body.endsWith("[DONE]\n\n") && !body.contains("\"stale\""), body);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"pause", "hang-decode", "hang-prefill"})
    void abandonsAttemptAndReleasesCacheWhenTheClientDisconnects(String fault) throws Exception {
        try (TestClient client = gateway.post(requestId, "listing", "9.0", fault)) {
            Await.until(() -> gateway.prefillEngine.requestCount("POST", fault) > 0
                    && (fault.equals("hang-prefill") || gateway.decodeRequestCount("POST", fault) > 0));
            assertTrue(fault.startsWith("hang") || client.readHead());
        }
        Await.until(() -> gateway.abandonedAttemptCount() == 1);
        Await.until(() -> gateway.releaseCount(requestId) > 0);
    }

    @Test
    void sendsNothingToADrainingEngineAfterTheWatchReconnected() throws Exception {
        Await.until(() -> gateway.discovery.receivedRequests.size() == 1);
        gateway.discovery.closeConnections();
        assertEquals(200, lookupStatus());
        StubServer draining = gateway.decodeEngines.get(
                gateway.decodeEngines.get(0).receivedRequests.isEmpty() ? 1 : 0);
        // Discovery may send JSON that is spread over several lines.
        gateway.discovery.publish(
                RunningGateway.decodeDelta(2, "leaving", draining).replace(",", ",\n  "));
        // A lookup that succeeds does not show whether the gateway has applied the update: it may have used the other
        // decode engine anyway. With that one draining too, lookups fail once both updates are applied.
        StubServer other = gateway.decodeEngines.get(1 - gateway.decodeEngines.indexOf(draining));
        for (String health : new String[] {"leaving", "active"}) {
            gateway.discovery.publish(RunningGateway.decodeDelta(health.equals("leaving") ? 3 : 4, health, other));
            while (lookupStatus() == 200 != health.equals("active")) {
                Thread.onSpinWait();
            }
        }
        long before = draining.requestCount("POST", "plain");
        for (int i = 0; i < 20; i++) {
            assertEquals(200, lookupStatus());
        }
        assertEquals(before, draining.requestCount("POST", "plain"));
    }

    /**
     * On SIGHUP the gateway stops watching discovery at the old address at once and keeps open streams. A configuration
     * file with an error changes nothing.
     */
    @Test
    void watchesTheNewDiscoveryAddressAfterSighup() throws Exception {
        Await.until(() -> gateway.discovery.receivedRequests.size() == 1);
        try (TestClient streaming = gateway.post(requestId, "listing", "9.0", "cut later");
                StubServer newDiscovery = new StubServer(StubServer.Role.DISCOVERY)) {
            assertTrue(streaming.readHead());
            gateway.writeConfiguration(newDiscovery.address(), "{\"classes\":7}");
            gateway.signal("HUP");
            Await.until(() -> gateway.hasLogged("event=configuration_rejected"));
            assertEquals(0, newDiscovery.receivedRequests.size());
            gateway.writeConfiguration(newDiscovery.address(), RunningGateway.SETTINGS);
            gateway.signal("HUP");
            Await.until(() -> newDiscovery.receivedRequests.size() == 1);
            Await.until(() -> gateway.hasLogged("event=configuration_reloaded"));
            newDiscovery.publish(RunningGateway.decodeDelta(
                    2, "leaving", gateway.decodeEngines.get(0), gateway.decodeEngines.get(1)));
            while (lookupStatus() == 200) {
                Thread.yield();
            }
            gateway.confirmFirstEvent();
            assertTrue(streaming.readBody().startsWith(StubAnswer.delta("one", "null")));
            assertEquals(1, gateway.discovery.receivedRequests.size());
        }
    }

    /**
     * A JVM that was started under nohup never receives SIGHUP. So the gateway reads the configuration file again while
     * discovery does not answer, and uses the address of discovery that it finds there.
     */
    @Test
    void readsTheConfigurationAgainWhileDiscoveryDoesNotAnswer() throws Exception {
        Await.until(() -> gateway.discovery.receivedRequests.size() == 1);
        try (StubServer newDiscovery = new StubServer(StubServer.Role.DISCOVERY)) {
            gateway.writeConfiguration(newDiscovery.address(), RunningGateway.SETTINGS);
            gateway.discovery.close();
            gateway.discovery.closeConnections();
            Await.until(() -> newDiscovery.receivedRequests.size() == 1);
        }
    }

    @Test
    void deliversTheWholeStreamWhenTheClientReadsSlowly() throws Exception {
        try (TestClient slow = gateway.post(requestId, "listing", "9.0", "long")) {
            assertTrue(slow.readHead());
            try (TestClient other = gateway.post(RunningGateway.nextRequestId(), "lookup", "4.0", "plain")) {
                assertTrue(other.readHead());
                assertEquals(200, other.status);
            }
            String body = slow.readBody();
            assertEquals(400, body.split("x{8000}", -1).length - 1);
            assertFalse(body.endsWith("(cut)"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST, /v1/other, lookup, 4.0, 404",
        "GET, /v1/chat/completions, lookup, 4.0, 405",
        "POST, /up, lookup, 4.0, 405",
        "POST, /v1/chat/completions, other, 4.0, 400",
        "POST, /v1/chat/completions, lookup, soon, 400",
        "POST, /v1/chat/completions, lookup, -1, 400",
        "POST, /v1/chat/completions, lookup, 413, 413",
        "GET, /up, lookup, 4.0, 200"
    })
    void reachesNoEngineWhenTheRequestIsInvalid(
            String method, String target, String serviceClass, String timeout, int status) throws Exception {
        String body = status == 413 ? "x".repeat(256 * 1024 + 1) : "{}";
        try (TestClient client = new TestClient(gateway.port)
                .send(method, target, RunningGateway.platformHeaders(requestId, serviceClass, timeout), body)) {
            assertTrue(client.readHead());
            assertEquals(status, client.status);
        }
        assertEquals(0, gateway.prefillEngine.receivedRequests.size() + gateway.decodeRequestCount("POST", ""));
    }

    /**
     * A malformed request gets an error status or a closed connection. The bytes after it and its own body are neither
     * served nor sent to an engine.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4|Transfer-Encoding: chunked||0||POST",
                "Content-Length: -4||",
                "Content-Length: 4|Content-Length: 4||",
                "Transfer-Encoding: chunked||zz|",
                "Content-Length: 70000000||",
                "Transfer-Encoding: chunked||FFFFFFFF|",
                "Endless: ",
                "Content-Length: 400||half",
                "A|",
                ""
            })
    @SuppressWarnings("try") // The connection with the valid request only has to stay open.
    void closesTheConnectionWhenTheRequestIsMalformed(String rest) throws Exception {
        String hidden = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                + RunningGateway.platformHeaders(RunningGateway.nextRequestId(), "lookup", "4.0")
                + "Content-Length: 6\r\n\r\nhidden";
        try (TestClient malformed = new TestClient(gateway.port);
                TestClient valid = gateway.post(requestId, "lookup", "4.0", "{}")) {
            OutputStream out = malformed.socket.getOutputStream();
            out.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                            + RunningGateway.platformHeaders(RunningGateway.nextRequestId(), "lookup", "4.0")
                            + rest.replace("|", "\r\n"))
                    .getBytes());
            // A complete head is followed by the hidden request, an endless head by more bytes of the head.
            String following = rest.contains("||") ? hidden : "x".repeat(40_000);
            if (!rest.contains("half") && !rest.isEmpty() && !rest.equals("A|")) {
                out.write(following.getBytes());
            }
            assertTrue(!malformed.readHead() || malformed.status >= 400, "status " + malformed.status);
            while (malformed.socket.getInputStream().read() >= 0) {
                Thread.onSpinWait();
            }
        } catch (SocketException e) {
            // A reset ends the connection as well.
        }
        assertEquals(200, lookupStatus());
        assertEquals(
                0,
                gateway.prefillEngine.requestCount("POST", "hidden")
                        + gateway.prefillEngine.requestCount("POST", "half"));
    }

    /**
     * Clients that connect and send nothing do not keep the gateway from serving others, and are disconnected in the
     * end.
     */
    @Test
    void servesOthersAndClosesSilentConnections() throws Exception {
        List<TestClient> silent = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            silent.add(new TestClient(gateway.port));
        }
        assertEquals(200, lookupStatus());
        for (TestClient each : silent) {
            assertFalse(each.readHead());
            each.close();
        }
    }

    @Test
    void answersTheFirstAndRejectsTheNextWhenRequestsArePipelined() throws Exception {
        try (TestClient client = gateway.post(requestId, "lookup", "4.0", "plain first")) {
            for (int i = 0; i < 50; i++) {
                send(client, RunningGateway.nextRequestId(), "lookup", "4.0", "pipelined");
            }
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            assertTrue(client.readBody().endsWith("[DONE]\n\n"));
            assertTrue(client.readHead());
            assertEquals(503, client.status);
            assertEquals("close", client.headers.get("Connection"));
        }
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "pipelined"));
    }

    @Test
    @SuppressWarnings("try") // The second client disconnects before the first one is served.
    void rejectsARequestWhoseIdIsInFlight() throws Exception {
        try (TestClient first = gateway.post(requestId, "listing", "9.0", "cut later");
                TestClient second = new TestClient(gateway.port)) {
            Await.until(() -> gateway.prefillEngine.requestCount("POST", "cut later") == 1);
            send(second, requestId, "listing", "9.0", "again");
            assertTrue(second.readHead());
            assertEquals(400, second.status);
            second.close();
            assertTrue(first.readHead());
            assertEquals(200, first.status);
            gateway.confirmFirstEvent();
            assertTrue(first.readBody().startsWith(StubAnswer.delta("one", "null")));
        }
        assertEquals(0, gateway.prefillEngine.requestCount("POST", "again"));
    }

    @Test
    void finishesAcceptedRequestsWhenTerminated() throws Exception {
        TestClient streaming = gateway.post(requestId, "listing", "5.0", "pause");
        assertTrue(streaming.readHead());
        TestClient idle = new TestClient(gateway.port);
        TestClient waiting = gateway.post(RunningGateway.nextRequestId(), "listing", "3.0", "hang-prefill");
        Await.until(() -> gateway.prefillEngine.requestCount("POST", "hang") > 0);
        gateway.process.destroy();
        TestClient up = new TestClient(gateway.port);
        do {
            up.send("GET", "/up", "", "");
            assertTrue(up.readHead());
            up.readBody();
        } while (up.status == 200);
        assertEquals(503, up.status);
        try (TestClient late = gateway.post(RunningGateway.nextRequestId(), "lookup", "4.0", "late")) {
            assertTrue(late.readHead());
            assertEquals(200, late.status);
        }
        assertFalse(idle.readHead(), "an idle connection must be closed");
        assertTrue(waiting.readHead());
        assertEquals(503, waiting.status);
        assertEquals("close", waiting.headers.get("Connection"));
        waiting.readBody();
        assertNull(RawHttp.readLine(waiting.socket.getInputStream()));
        streaming.close();
        assertEquals(0, gateway.process.waitFor());
    }
}

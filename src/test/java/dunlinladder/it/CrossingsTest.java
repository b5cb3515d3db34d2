package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.it.StandIn.Browser;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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

    private final String id = Running.freshId();
    private Running running;

    @BeforeEach
    void start() throws Exception {
        running = new Running(Map.of(), null);
    }

    @AfterEach
    void stop() throws Exception {
        running.close();
    }

    private int plain(Browser browser, String request) throws IOException {
        browser.send("POST", "/v1/chat/completions", Running.headers(request, "lookup", "4.0"), "plain");
        assertTrue(browser.head());
        browser.body();
        return browser.status;
    }

    /** Its end stands behind requests that are not read, and the one that was taken would run on unheard. */
    @ParameterizedTest
    @CsvSource({"0, false", "1, false", "2, false", "50, false", "2000, false", "0, true", "2, true", "50, true"})
    void whoSendsMoreThanOneAndLeavesEndsItsAttempt(int more, boolean reset) throws Exception {
        try (Browser hasty = running.post(id, "listing", "600.0", "hang-reader")) {
            for (int i = 0; i < more; i++) {
                hasty.send(
                        "POST",
                        "/v1/chat/completions",
                        Running.headers(Running.freshId(), "listing", "600.0"),
                        "hasty");
            }
            StandIn.until(() -> running.reader.count("POST", "hang-reader") == 1);
            // Served by the same thread, which has looked at what was sent here by then.
            for (int i = 0; i < 3; i++) {
                assertEquals(200, ask(running));
            }
            if (reset) {
                hasty.socket.setSoLinger(true, 0);
            }
        }
        // A read that takes long may have been given up and begun again before: none is out in the end.
        StandIn.until(() -> running.releases(id) > 0
                && running.reader.abandoned.size() == running.reader.count("POST", "hang-reader"));
        assertEquals(0, running.reader.count("POST", "hasty"));
    }

    /**
     * The other half of a request comes once the gateway has been told to end and has closed what rests: it is refused,
     * which is honest, as no engine has seen it; taken, it might be open at the kill. A program that did not wait for
     * it would have ended long before the time that is waited here.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 60, 520})
    void aRequestThatIsHalfHereAtTheEndIsAnswered(int before) throws Exception {
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + Running.headers(id, "lookup", "4.0")
                + "Content-Length: 400\r\n\r\n" + "x".repeat(400);
        try (Browser slow = new Browser(running.port);
                Browser resting = new Browser(running.port);
                Browser up = new Browser(running.port)) {
            assertEquals(200, plain(resting, Running.freshId()));
            running.process.destroy();
            do {
                up.send("GET", "/up", "", "");
                assertTrue(up.head());
                up.body();
            } while (up.status == 200);
            slow.socket.getOutputStream().write(request.substring(0, before).getBytes());
            assertFalse(resting.head(), "a resting connection closes");
            assertFalse(running.process.waitFor(400, TimeUnit.MILLISECONDS));
            slow.socket.getOutputStream().write(request.substring(before).getBytes());
            assertTrue(slow.head());
            assertEquals(503, slow.status);
            assertEquals("close", slow.headers.get("Connection"));
            slow.body();
            assertFalse(slow.head());
        }
        assertEquals(0, running.process.waitFor());
        assertEquals(0, running.reader.count("POST", "xxx"));
    }

    /**
     * The heads of these streams went out before the end was told and promise nothing; each client sends its next
     * request as soon as it has the last chunk. Taken, it would be lost where engines hang until the kill.
     */
    @Test
    void aStreamThatEndsAfterTheEndWasToldTakesItsConnectionAlong() throws Exception {
        List<Browser> streaming = new ArrayList<>();
        try (Browser resting = new Browser(running.port)) {
            assertEquals(200, plain(resting, Running.freshId()));
            for (int i = 0; i < 8; i++) {
                Browser browser = running.post(Running.freshId(), "listing", "9.0", "in steps");
                streaming.add(browser);
                assertTrue(browser.head());
            }
            running.process.destroy();
            assertFalse(resting.head(), "a resting connection closes");
            running.writers.forEach(w -> w.eventsSeen = 20);
            for (Browser each : streaming) {
                assertTrue(each.body().endsWith("[DONE]\n\n"));
                try {
                    each.send(
                            "POST",
                            "/v1/chat/completions",
                            Running.headers(Running.freshId(), "listing", "9.0"),
                            "next");
                    assertFalse(each.head());
                } catch (SocketException e) {
                    // A reset is an end too.
                }
            }
        }
        assertEquals(0, running.process.waitFor());
        assertEquals(0, running.reader.count("POST", "next"));
    }

    /**
     * Requests come on resting connections all through the moments in which these are closed: each is answered whole,
     * or its connection ends and no engine has seen it, so that its client may send it again.
     */
    @Test
    void aRequestInTheMomentOfACloseIsAnsweredOrNeverSentOn() throws Exception {
        Random random = new Random(7);
        List<Thread> clients = new ArrayList<>();
        Queue<String> lost = new ConcurrentLinkedQueue<>();
        List<Browser> browsers = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            Browser browser = new Browser(running.port);
            assertEquals(200, plain(browser, Running.freshId()));
            browsers.add(browser);
        }
        running.process.destroy();
        long from = System.nanoTime();
        for (Browser browser : browsers) {
            long at = from + (long) ((0.55 + random.nextDouble() * 0.15) * 1e9);
            String own = Running.freshId();
            Thread client = new Thread(() -> {
                while (System.nanoTime() < at) {
                    Thread.onSpinWait();
                }
                try (browser) {
                    browser.send("POST", "/v1/chat/completions", Running.headers(own, "lookup", "4.0"), "moment");
                    if (browser.head() && browser.body().endsWith("[DONE]\n\n")) {
                        return;
                    }
                } catch (IOException e) {
                    // A reset is an end too.
                }
                if (running.reader.seen.stream()
                        .anyMatch(s -> own.equals(s.headers().get("X-Request-ID")))) {
                    lost.add(own);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(0, running.process.waitFor());
        assertEquals(List.of(), List.copyOf(lost));
    }

    /** No event waits for the next one: each is written once the client has seen the one before. */
    @Test
    void eachEventIsPassedOnBeforeTheNextIsWritten() throws Exception {
        try (Browser browser = running.post(id, "listing", "9.0", "in steps")) {
            assertTrue(browser.head());
            StringBuilder seen = new StringBuilder();
            for (int i = 1; i < 20; i++) {
                String event = i == 1 ? StandIn.delta("one", "null") : StandIn.delta("step " + (i - 1), "null");
                while (!seen.toString().endsWith(event)) {
                    int next = browser.socket.getInputStream().read();
                    assertTrue(next >= 0, "ended after " + seen);
                    seen.append(next == '\r' ? "" : (char) next);
                }
                int number = i;
                running.writers.forEach(w -> w.eventsSeen = number);
            }
            // The end of the chunk that was read byte by byte.
            assertEquals("", StandIn.SimulatorCodec.line(browser.socket.getInputStream()));
            assertTrue(browser.body().endsWith("[DONE]\n\n"));
        }
    }

    /**
     * Clients that rest, say nothing or half a head take every descriptor meant for clients while discovery is down: at
     * its return its news is heard, engines are reached and later clients served.
     */
    @Test
    void descriptorsTakenWhileDiscoveryIsDownCostNobodyElse() throws Exception {
        List<Browser> idle = new ArrayList<>();
        try (Running narrow = Running.withDescriptors(256)) {
            StandIn.until(() -> narrow.discovery.seen.size() == 1);
            narrow.discovery.silent = true;
            narrow.discovery.dropConnections();
            StandIn.until(() -> narrow.discovery.seen.size() >= 2);
            for (int i = 0; i < 600; i++) {
                Browser browser = new Browser(narrow.port);
                idle.add(browser);
                if (i % 3 == 0) {
                    browser.socket.getOutputStream().write("POST /v1/chat".getBytes());
                }
            }
            assertEquals(200, ask(narrow));
            narrow.discovery.tell("{\"seq\":2,\"whole\":false,\"hosts\":["
                    + Running.host(narrow.writers.get(0), "answer", "leaving") + ","
                    + Running.host(narrow.writers.get(1), "answer", "leaving") + "]}");
            narrow.discovery.silent = false;
            while (ask(narrow) == 200) {
                Thread.yield();
            }
            narrow.discovery.tell("{\"seq\":3,\"whole\":false,\"hosts\":["
                    + Running.host(narrow.writers.get(0), "answer", "active") + "]}");
            while (ask(narrow) != 200) {
                Thread.yield();
            }
            assertEquals(
                    0,
                    narrow.lines.stream()
                            .filter(l -> l.contains("Too many open files"))
                            .count());
        } finally {
            for (Browser each : idle) {
                each.close();
            }
        }
    }

    private int ask(Running gateway) throws IOException {
        try (Browser browser = new Browser(gateway.port)) {
            return plain(browser, Running.freshId());
        }
    }
}

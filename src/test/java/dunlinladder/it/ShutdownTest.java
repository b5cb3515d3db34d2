package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The process exits before the earliest SIGKILL that the platform protocol specification allows, and loses no request
 * that it has accepted.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ShutdownTest {

    /**
     * By the platform protocol specification, SIGKILL comes no sooner after SIGTERM than the longest deadline plus this
     * many seconds.
     */
    private static final double KILL_GRACE_SECONDS = 0.7;

    private static final double NANOS_PER_SECOND = 1e9;
    /** Milliseconds after SIGTERM by which a process without an open stream has exited. */
    private static final int MAX_EXIT_MILLIS = 1200;

    private static final int CLIENTS = 4;
    private static final int SIGNALS = 6;

    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    private static String settings(String deadline) {
        return settings(RunningGateway.SETTINGS, deadline);
    }

    private static String settings(String base, String deadline) {
        return base.replace("\"deadline\":4.0", "\"deadline\":" + deadline)
                .replace("\"deadline\":10.0", "\"deadline\":" + deadline);
    }

    /** Clients keep sending on their open connections, and signals arrive several times. */
    @ParameterizedTest
    @CsvSource({"0.2, plain", "0.4, plain", "0.8, hang-decode", "0.8, hang-prefill"})
    void exitsInTimeAndAnswersEveryRequestThatReachedAnEngine(String deadline, String body) throws Exception {
        try (RunningGateway gateway =
                RunningGateway.builder().settings(settings(deadline)).start()) {
            PlatformGatewayFixture.lookupStatus(gateway);
            List<Future<?>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                FutureTask<Void> client = new FutureTask<>(() -> sendUntilClosed(gateway, deadline, body), null);
                Thread thread = new Thread(client, "client");
                thread.setDaemon(true);
                thread.start();
                clients.add(client);
            }
            Await.until(() -> gateway.prefillEngine.requestCount("POST", body) >= CLIENTS);
            long terminatedAt = System.nanoTime();
            for (int i = 0; i < SIGNALS; i++) {
                gateway.signal(i % 2 == 0 ? "TERM" : "HUP");
            }
            assertTrue(gateway.process.waitFor(20, TimeUnit.SECONDS));
            double seconds = (System.nanoTime() - terminatedAt) / NANOS_PER_SECOND;
            for (Future<?> client : clients) {
                client.get();
            }
            assertEquals(0, gateway.process.exitValue());
            assertTrue(seconds < Double.parseDouble(deadline) + KILL_GRACE_SECONDS, "exited after " + seconds + " s");
            assertEquals(List.of(), unansweredRequestIds(gateway));
        }
    }

    /**
     * Sends one request after the other on one connection until it is closed. The timeout of each is the deadline, the
     * longest that the platform protocol specification allows.
     */
    private void sendUntilClosed(RunningGateway gateway, String deadline, String body) {
        try (TestClient client = new TestClient(gateway.port)) {
            while (true) {
                String id = RunningGateway.nextRequestId();
                PlatformGatewayFixture.send(client, id, "lookup", deadline, body);
                if (!client.readHead()) {
                    return;
                }
                statuses.put(id, client.status);
                client.readBody();
            }
        } catch (IOException e) {
            // The connection was closed between two requests, or before a request on it was read.
        }
    }

    /** Returns the ids of requests without an answer. The first one, which is the warm-up lookup, is left out. */
    private List<String> unansweredRequestIds(RunningGateway gateway) {
        return gateway.prefillEngine.receivedRequests.stream()
                .filter(request -> request.method().equals("POST"))
                .map(request -> request.headers().get("X-Request-ID"))
                .filter(id -> Long.parseLong(id, 16) > 0 && !statuses.containsKey(id))
                .skip(1)
                .toList();
    }

    /**
     * Guards against a refusal, which promises that a retry is harmless, of a request that a hanging engine has
     * received and that may run again in that engine's cell only.
     */
    @ParameterizedTest
    @CsvSource({"hang-decode, 504", "hang-prefill, 503"})
    void refusesAKeyedRequestOnlyIfItCannotHaveRun(String body, int status) throws Exception {
        try (RunningGateway gateway = RunningGateway.builder()
                .settings(settings(RunningGateway.KEYED_SETTINGS, "0.4"))
                .start()) {
            PlatformGatewayFixture.lookupStatus(gateway);
            // The client's timeout is far off, so that the shutdown ends the request.
            try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "9.0", body)) {
                Await.until(() -> gateway.prefillEngine.requestCount("POST", body) == 1
                        && (body.equals("hang-prefill") || gateway.decodeRequestCount("POST", body) == 1));
                gateway.signal("TERM");
                assertTrue(client.readHead());
                assertEquals(status, client.status);
                assertTrue(gateway.process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, gateway.process.exitValue());
            }
        }
    }

    /** A stream that its engine still writes is not cut at the exit time, as the client would lose the rest of it. */
    @Test
    void keepsAnOpenStreamUntilItsEnd() throws Exception {
        try (RunningGateway gateway =
                RunningGateway.builder().settings(settings("0.4")).start()) {
            PlatformGatewayFixture.lookupStatus(gateway);
            try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "lookup", "0.4", "in steps")) {
                assertTrue(client.readHead());
                assertEquals(200, client.status);
                gateway.signal("TERM");
                Await.until(() -> gateway.hasLogged("event=stopping"));
                long latestExit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_EXIT_MILLIS);
                Await.until(() -> System.nanoTime() > latestExit);
                assertTrue(gateway.process.isAlive());
                gateway.confirmEvents(Integer.MAX_VALUE);
                assertTrue(client.readBody().endsWith("data: [DONE]\n\n"));
                assertTrue(gateway.process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, gateway.process.exitValue());
            }
        }
    }
}

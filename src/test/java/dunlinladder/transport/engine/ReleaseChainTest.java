package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dunlinladder.core.Counter;
import dunlinladder.core.Engine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A release reaches an engine that lives although most of those listed do not. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReleaseChainTest {

    private static final String EXPECTED_REQUEST = "DELETE /internal/reservations/held";

    private final CompletableFuture<String> received = new CompletableFuture<>();
    private HttpServer alive;
    private String aliveAddress;

    @BeforeEach
    void createServer() throws IOException {
        alive = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
        aliveAddress = "127.0.0.1:" + alive.getAddress().getPort();
    }

    @AfterEach
    void stopServer() {
        alive.stop(0);
    }

    private void record(HttpExchange exchange) {
        received.complete(exchange.getRequestMethod() + " " + exchange.getRequestURI());
    }

    /** Most of a stale list is gone: a release goes to the engine that answered last, not to any one. */
    @Test
    void releaseGoesToTheEngineThatAnsweredLast() throws Exception {
        alive.createContext("/", this::record);
        alive.start();
        try (ServerSocket gone = EngineConnectionFixture.silentServer();
                EngineConnectionFixture connections = new EngineConnectionFixture(0.25)) {
            List<Engine> listed = new ArrayList<>(List.of(EngineConnectionFixture.engine("alive", aliveAddress, 0)));
            for (int i = 0; i < 59; i++) {
                // Each is gone without a word: connections come up and nothing is ever said on them.
                listed.add(EngineConnectionFixture.engine("gone-" + i, EngineConnectionFixture.addressOf(gone), 0));
            }
            EngineClient client = connections.client(listed);
            connections.markAnswered(aliveAddress);
            client.release("held");
            assertEquals(EXPECTED_REQUEST, received.join());
        }
    }

    /** No engine can be reached for a moment, by a fault of the machine here: what is held stays owed. */
    @Test
    void releaseIsRepeatedWhereNoEngineCouldBeReached() throws Exception {
        InetSocketAddress address;
        try (ServerSocket unused = EngineConnectionFixture.silentServer()) {
            address = (InetSocketAddress) unused.getLocalSocketAddress();
        }
        String late = "127.0.0.1:" + address.getPort();
        try (EngineConnectionFixture connections = new EngineConnectionFixture(0.25)) {
            EngineClient client = connections.client(List.of(EngineConnectionFixture.engine("late", late, 0)));
            client.release("held");
            while (connections.counters.count(Counter.CONNECTS_FAILED) == 0) {
                Thread.onSpinWait();
            }
            alive.stop(0);
            alive = HttpServer.create(address, 5);
            alive.createContext("/", this::record);
            alive.start();
            assertEquals(EXPECTED_REQUEST, received.join());
        }
    }

    /**
     * All engines that answered of late are behind a cut, and their zone is asked in turn with another one. A gateway
     * that ends waits until the release has arrived.
     */
    @Test
    void releaseLeavesAZoneThatIsCutOff() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        alive.createContext("/", exchange -> {
            record(exchange);
            try {
                mayAnswer.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        alive.start();
        List<ServerSocket> cutOff = new ArrayList<>();
        // The second silence ends the chain: it has to be longer than any stall of the machine.
        try (EngineConnectionFixture connections = new EngineConnectionFixture(1.5)) {
            List<Engine> listed = new ArrayList<>(List.of(EngineConnectionFixture.engine("alive", aliveAddress, 1)));
            for (int i = 0; i < connections.limits.releaseAttempts(); i++) {
                cutOff.add(EngineConnectionFixture.silentServer());
                String silent = EngineConnectionFixture.addressOf(cutOff.get(i));
                listed.add(EngineConnectionFixture.engine("cut-" + i, silent, 0));
                connections.markAnswered(silent);
            }
            EngineClient client = connections.client(listed);
            client.release("held");
            assertEquals(EXPECTED_REQUEST, received.join());
            assertEquals(1, client.openReleases());
            mayAnswer.countDown();
            while (client.openReleases() > 0) {
                Thread.onSpinWait();
            }
        } finally {
            for (ServerSocket each : cutOff) {
                each.close();
            }
        }
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import dunlinladder.core.Clock;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.SendGuard;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the connections to engines promise to the rules. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineConnectionPoolTest {

    static final Limits LIMITS = LimitsBuilder.limits().releaseSeconds(0.25).build();

    private static PoolEntry<HttpHost, IOSession> lease(EngineConnectionPool connections, String address) {
        CompletableFuture<PoolEntry<HttpHost, IOSession>> leased = new CompletableFuture<>();
        connections.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, IOSession> entry, boolean reused) {
                leased.complete(entry);
            }

            @Override
            public void notConnected() {
                leased.completeExceptionally(new IllegalStateException("not connected"));
            }
        });
        return leased.join();
    }

    /** Has the thread that serves all connections take up one more, and stay there until it is released. */
    static CountDownLatch occupy(EngineConnectionPool connections, String address) throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        connections.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, IOSession> other, boolean reused) {
                busy.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }

            @Override
            public void notConnected() {
                busy.countDown();
            }
        });
        busy.await();
        return release;
    }

    /**
     * An attempt that is given up ends on the wire at once, although the thread that serves its connection is busy: a
     * client that is refused meanwhile must not find the attempt still out.
     */
    @Test
    void whatIsGivenUpEndsAtOnce() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                EngineConnectionPool connections = new EngineConnectionPool(LIMITS, timer)) {
            String address = "127.0.0.1:" + listener.getLocalPort();
            PoolEntry<HttpHost, IOSession> entry = lease(connections, address);
            try (Socket peer = listener.accept()) {
                CountDownLatch release = occupy(connections, address);
                try {
                    connections.discard(entry);
                    assertEquals(-1, peer.getInputStream().read());
                } finally {
                    release.countDown();
                }
            }
        } finally {
            timer.shutdownNow();
        }
        assertEquals(List.of(), timer.shutdownNow());
    }

    /** Most of a stale list is gone: a release goes to the engine that answered last, not to any one. */
    @Test
    void aReleaseGoesToTheEngineThatAnsweredLast() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        HttpServer alive = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
        CompletableFuture<String> asked = new CompletableFuture<>();
        alive.createContext(
                "/", exchange -> asked.complete(exchange.getRequestMethod() + " " + exchange.getRequestURI()));
        alive.start();
        try (ServerSocket gone = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
                EngineConnectionPool connections = new EngineConnectionPool(LIMITS, timer)) {
            EngineRegistry engines = new EngineRegistry();
            String address = "127.0.0.1:" + alive.getAddress().getPort();
            List<Engine> listed = new ArrayList<>(List.of(engine("alive", address, 0)));
            for (int i = 0; i < 59; i++) {
                // Each is gone without a word: connections come up and nothing is ever said on them.
                listed.add(engine("gone-" + i, "127.0.0.1:" + gone.getLocalPort(), 0));
            }
            engines.apply(RequestRouter.Scope.COMPLETE, listed);
            connections.giveBack(lease(connections, address));
            new EngineClient(connections, engines, new SendGuard(engines, new Clock(), 0), new Clock(), LIMITS, timer)
                    .release("held");
            assertEquals("DELETE /internal/reservations/held", asked.join());
        } finally {
            alive.stop(0);
            timer.shutdownNow();
        }
    }

    /**
     * All engines that answered of late are behind a cut, and their zone is asked in turn with another one. A gateway
     * that ends waits until the release has arrived.
     */
    @Test
    void aReleaseLeavesAZoneThatIsCutOff() throws Exception {
        // The second silence ends the chain: it has to be longer than any stall of the machine.
        Limits patient = LimitsBuilder.limits().releaseSeconds(1.5).build();
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        HttpServer alive = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
        CompletableFuture<String> asked = new CompletableFuture<>();
        CountDownLatch seen = new CountDownLatch(1);
        alive.createContext("/", exchange -> {
            asked.complete(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            try {
                seen.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        alive.start();
        List<ServerSocket> cut = new ArrayList<>();
        try (EngineConnectionPool connections = new EngineConnectionPool(patient, timer)) {
            EngineRegistry engines = new EngineRegistry();
            String address = "127.0.0.1:" + alive.getAddress().getPort();
            List<Engine> listed = new ArrayList<>(List.of(engine("alive", address, 1)));
            for (int i = 0; i < patient.releaseAttempts(); i++) {
                cut.add(new ServerSocket(0, 100, InetAddress.getLoopbackAddress()));
                String silent = "127.0.0.1:" + cut.get(i).getLocalPort();
                listed.add(engine("cut-" + i, silent, 0));
                connections.giveBack(lease(connections, silent));
            }
            engines.apply(RequestRouter.Scope.COMPLETE, listed);
            EngineClient client = new EngineClient(
                    connections, engines, new SendGuard(engines, new Clock(), 0), new Clock(), patient, timer);
            client.release("held");
            assertEquals("DELETE /internal/reservations/held", asked.join());
            assertEquals(1, client.openReleases());
            seen.countDown();
            while (client.openReleases() > 0) {
                Thread.onSpinWait();
            }
        } finally {
            alive.stop(0);
            timer.shutdownNow();
            for (ServerSocket each : cut) {
                each.close();
            }
        }
    }

    private static Engine engine(String id, String address, int zone) {
        return new Engine(id, address, zone, 0, 0, Engine.State.ACTIVE, 1, 0);
    }
}

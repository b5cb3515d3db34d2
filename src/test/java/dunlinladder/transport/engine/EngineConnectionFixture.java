package dunlinladder.transport.engine;

import dunlinladder.core.Clock;
import dunlinladder.core.Counters;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.SendGuard;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.reactor.IOSession;

/** A connection pool with its timer, and what the tests of this package do with it. */
final class EngineConnectionFixture implements AutoCloseable {

    final Limits limits;
    final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    final EngineConnectionPool pool;
    final Counters counters = new Counters();

    EngineConnectionFixture(double releaseSeconds) {
        limits = LimitsBuilder.limits().releaseSeconds(releaseSeconds).build();
        pool = new EngineConnectionPool(limits, timer, counters);
    }

    /** A server that accepts connections and never says anything. */
    static ServerSocket silentServer() throws IOException {
        return new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    }

    static String addressOf(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static Engine engine(String id, String address, int zone) {
        return new Engine(id, address, zone, 0, 0, Engine.State.ACTIVE, 1, 0);
    }

    /** A client of this pool that knows these engines. */
    EngineClient client(List<Engine> listed) {
        EngineRegistry engines = new EngineRegistry();
        engines.apply(RequestRouter.Scope.COMPLETE, listed);
        SendGuard sendGuard = new SendGuard(engines, new Clock(), 0);
        return new EngineClient(pool, engines, sendGuard, new Instruments(new Clock(), counters), limits, timer);
    }

    /** Leases a connection and waits for it. */
    PoolEntry<HttpHost, IOSession> lease(String address) {
        CompletableFuture<PoolEntry<HttpHost, IOSession>> leased = new CompletableFuture<>();
        pool.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, IOSession> connection, boolean reused) {
                leased.complete(connection);
            }

            @Override
            public void notConnected() {
                leased.completeExceptionally(new IOException("not connected to " + address));
            }
        });
        return leased.join();
    }

    /** Has the engine at an address count as one that has answered. */
    void markAnswered(String address) {
        pool.giveBack(lease(address));
    }

    /** Has the thread that serves all connections take up one more, and stay there until the latch is released. */
    CountDownLatch occupyIoThread(String address) throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        pool.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, IOSession> connection, boolean reused) {
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

    @Override
    public void close() {
        pool.close();
        timer.shutdownNow();
    }
}

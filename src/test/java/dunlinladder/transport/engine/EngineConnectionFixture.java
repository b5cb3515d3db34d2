package dunlinladder.transport.engine;

import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counters;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.SendGuard;
import dunlinladder.core.ServiceRules;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;

/** A connection pool with its timer, and what the tests of this package do with it. */
final class EngineConnectionFixture implements AutoCloseable {

    final Limits limits;
    final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    final EngineConnectionPool pool;
    final Counters counters = new Counters();

    EngineConnectionFixture(double releaseSeconds) {
        limits = LimitsBuilder.limits().releaseSeconds(releaseSeconds).build();
        timer.setRemoveOnCancelPolicy(true);
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

    /** Requests may run again, and every engine may run them. */
    private static final class NoRules implements ServiceRules {

        @Override
        public boolean isNonIdempotent(int serviceClass) {
            return false;
        }

        @Override
        public boolean isPrefillOnly(int kind) {
            return false;
        }
    }

    /** A client of this pool that knows these engines. */
    EngineClient client(List<Engine> listed) {
        EngineRegistry engines = new EngineRegistry();
        engines.apply(RequestRouter.Scope.COMPLETE, listed);
        Instruments instruments = new Instruments(new MonotonicClock(), counters, new CacheHoldLedger(0, counters));
        SendGuard sendGuard = new SendGuard(engines, new NoRules(), instruments, 0);
        return new EngineClient(pool, engines, sendGuard, instruments, limits, timer);
    }

    /** Leases a connection and waits for it. */
    PoolEntry<HttpHost, EngineConnection> lease(String address) {
        CompletableFuture<PoolEntry<HttpHost, EngineConnection>> leased = new CompletableFuture<>();
        pool.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, EngineConnection> connection, boolean reused) {
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
            public void connected(PoolEntry<HttpHost, EngineConnection> connection, boolean reused) {
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

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
import dunlinladder.core.RerunRule;
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

/** A connection pool with its timer, and helper methods for the tests of this package. */
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

    /** Returns a server that accepts connections and never sends anything. */
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
        public RerunRule rerunRule(int serviceClass) {
            return RerunRule.UNRESTRICTED;
        }

        @Override
        public boolean isPrefillOnly(int kind) {
            return false;
        }
    }

    /** Creates a client that uses this pool and these engines. */
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

    /** Records the engine at an address as one that has answered. */
    void markAnswered(String address) {
        pool.giveBack(lease(address));
    }

    /**
     * Opens a connection to {@code address} and blocks the I/O thread in its callback until the returned latch is
     * released.
     */
    CountDownLatch occupyIoThread(String address) throws InterruptedException {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch mayContinue = new CountDownLatch(1);
        pool.lease(address, new LeaseCallback() {
            @Override
            public void connected(PoolEntry<HttpHost, EngineConnection> connection, boolean reused) {
                occupied.countDown();
                try {
                    mayContinue.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }

            @Override
            public void notConnected() {
                occupied.countDown();
            }
        });
        occupied.await();
        return mayContinue;
    }

    @Override
    public void close() {
        pool.close();
        timer.shutdownNow();
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the connections to engines promise to the rules. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineConnectionPoolTest {

    /**
     * An attempt that is given up ends on the wire at once, although the thread that serves its connection is busy: a
     * client that is rejected meanwhile must not find the attempt still out.
     */
    @Test
    void discardedConnectionEndsAtOnceWhileTheIoThreadIsBusy() throws Exception {
        try (ServerSocket listener = EngineConnectionFixture.silentServer();
                EngineConnectionFixture connections = new EngineConnectionFixture(0.25)) {
            String address = EngineConnectionFixture.addressOf(listener);
            PoolEntry<HttpHost, EngineConnection> connection = connections.lease(address);
            try (Socket peer = listener.accept()) {
                CountDownLatch release = connections.occupyIoThread(address);
                try {
                    connections.pool.discard(connection);
                    assertEquals(-1, peer.getInputStream().read());
                } finally {
                    release.countDown();
                }
            }
            assertEquals(List.of(), connections.timer.shutdownNow());
        }
    }
}

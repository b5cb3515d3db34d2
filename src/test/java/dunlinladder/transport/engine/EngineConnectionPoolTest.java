package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Properties of the connections to engines that the routing rules rely on. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineConnectionPoolTest {

    /**
     * Guards against an error on one connection that ends the I/O thread, and with it every other connection to engines
     * for good.
     */
    @Test
    void anErrorOfOneConnectionLeavesTheOthersOpen() throws Exception {
        try (ServerSocket listener = EngineConnectionFixture.silentServer();
                EngineConnectionFixture connections = new EngineConnectionFixture(5)) {
            String address = EngineConnectionFixture.addressOf(listener);
            PoolEntry<HttpHost, EngineConnection> other = connections.lease(address);
            try (Socket otherPeer = listener.accept()) {
                connections.pool.open(address, failingHandler());
                try (Socket peer = listener.accept()) {
                    peer.getOutputStream().write('x');
                    awaitClose(peer);
                }
                assertTrue(other.getConnection().isOpen());
                assertTrue(connections.lease(address).getConnection().isOpen());
                assertEquals(0, otherPeer.getInputStream().available());
            }
        }
    }

    /** Waits until the other end closes the connection. It resets the connection if it has not read all bytes. */
    private static void awaitClose(Socket socket) throws IOException {
        try {
            assertEquals(-1, socket.getInputStream().read());
        } catch (SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
    }

    /** Returns a handler that reads, and fails with an error at every event after the connection is established. */
    private static IOEventHandler failingHandler() {
        return (IOEventHandler) Proxy.newProxyInstance(
                EngineConnectionPoolTest.class.getClassLoader(),
                new Class<?>[] {IOEventHandler.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("connected")) {
                        ((IOSession) arguments[0]).setEvent(SelectionKey.OP_READ);
                        return null;
                    }
                    throw new StackOverflowError("thrown by the test");
                });
    }

    /**
     * An attempt that is given up must end on the wire at once, even if the I/O thread of its connection is busy.
     * Otherwise the engine still sees the attempt as running while its client has already been rejected.
     */
    @Test
    void discardedConnectionEndsAtOnceWhileTheIoThreadIsBusy() throws Exception {
        try (ServerSocket listener = EngineConnectionFixture.silentServer();
                EngineConnectionFixture connections = new EngineConnectionFixture(0.25)) {
            String address = EngineConnectionFixture.addressOf(listener);
            PoolEntry<HttpHost, EngineConnection> connection = connections.lease(address);
            try (Socket peer = listener.accept()) {
                CountDownLatch ioThreadMayContinue = connections.occupyIoThread(address);
                try {
                    connections.pool.discard(connection);
                    assertEquals(-1, peer.getInputStream().read());
                } finally {
                    ioThreadMayContinue.countDown();
                }
            }
            assertEquals(List.of(), connections.timer.shutdownNow());
        }
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
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
                connections.pool.open(address, new FailingHandler());
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

    /** Fails with an error on the first input. */
    private static final class FailingHandler implements IOEventHandler {

        @Override
        public void connected(IOSession session) {
            session.setEvent(SelectionKey.OP_READ);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {
            throw new StackOverflowError("thrown by the test");
        }

        @Override
        public void outputReady(IOSession session) {
            session.clearEvent(SelectionKey.OP_WRITE);
        }

        @Override
        public void timeout(IOSession session, org.apache.hc.core5.util.Timeout timeout) {
            // No timeout is set.
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            throw new AssertionError("thrown by the test", cause);
        }

        @Override
        public void disconnected(IOSession session) {
            throw new AssertionError("thrown by the test");
        }
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

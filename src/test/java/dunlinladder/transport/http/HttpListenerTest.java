package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.RequestBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections of a listener that fail, or whose clients leave, and the other connections beside them. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpListenerTest {

    private static final Limits LIMITS = LimitsBuilder.limits().build();
    private static final String FAILING_PATH = "/failing";
    /** A request with this path causes an error outside of the connection's handler. */
    private static final String UNCONFINED_PATH = "/unconfined";
    /** A request with this path stays open. */
    private static final String OPEN_PATH = "/open";
    /** A request with this path occupies the I/O thread. */
    private static final String BLOCKING_PATH = "/blocking";
    /** A request with this path is submitted to the dispatcher. */
    private static final String SUBMITTED_PATH = "/submitted";

    private final AtomicInteger answers = new AtomicInteger();
    private final BlockingQueue<TestExchange> openExchanges = new LinkedBlockingQueue<>();
    private final CountDownLatch ioThreadOccupied = new CountDownLatch(1);
    private final CountDownLatch ioThreadMayContinue = new CountDownLatch(1);
    private final Counters counters = new Counters();
    /** Accepts requests and drives none of them. */
    private final Dispatcher dispatcher = new Dispatcher(
            null,
            null,
            null,
            task -> {},
            new Instruments(new MonotonicClock(), counters, new CacheHoldLedger(0, counters)),
            new Dispatcher.Settings(10, 0));

    /** Answers each request at once, but for those with one of the paths above. */
    private final class TestExchange extends ServerExchange {

        TestExchange() {
            super(dispatcher, LIMITS, () -> false, new MemoryBudget(LIMITS.requestMemoryBytes(), counters));
        }

        @Override
        protected void requestReceived(HttpRequest head, byte[] content) {
            switch (path(head)) {
                case FAILING_PATH -> throw new StackOverflowError("thrown by the test");
                case UNCONFINED_PATH -> throw new UnprintableException();
                case OPEN_PATH -> openExchanges.add(this);
                case BLOCKING_PATH -> waitOnIoThread();
                case SUBMITTED_PATH ->
                    submit(RequestBuilder.request("submitted").build(), null);
                default -> answer();
            }
        }

        void answer() {
            answer(200, "text/plain", "answer " + answers.incrementAndGet(), Map.of());
        }

        private void waitOnIoThread() {
            ioThreadOccupied.countDown();
            try {
                ioThreadMayContinue.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            answer();
        }

        @Override
        protected void bodyTooLong() {
            // No test sends a long body.
        }

        @Override
        public void reject(double retryAfter) {
            // No request is submitted.
        }
    }

    /** Causes an error where it is logged. */
    private static final class UnprintableException extends IllegalStateException {

        private static final long serialVersionUID = 1;

        @Override
        public String toString() {
            throw new StackOverflowError("thrown by the test");
        }
    }

    private static void send(Socket client, String path) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request that stays open and returns its exchange. */
    private TestExchange sendAndKeepOpen(Socket client) throws IOException, InterruptedException {
        send(client, OPEN_PATH);
        return openExchanges.take();
    }

    /** Occupies the I/O thread until {@link #ioThreadMayContinue}. */
    private void occupyIoThread(Socket client) throws IOException, InterruptedException {
        send(client, BLOCKING_PATH);
        ioThreadOccupied.await();
    }

    private static String readAnswer(Socket client) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().matches("(?s).*answer [0-9]")) {
            text.append((char) client.getInputStream().read());
        }
        return text.substring(text.indexOf("answer"));
    }

    /** Waits until the other end closes the connection. It resets the connection if it has not read all bytes. */
    private static void awaitClose(Socket socket) throws IOException {
        try {
            assertEquals(-1, socket.getInputStream().read());
        } catch (SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
    }

    private HttpListener createListener(int maxConnections) {
        return new HttpListener(maxConnections, LIMITS, counters, TestExchange::new);
    }

    private static Socket connect(int port) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    private static void leave(Socket client) throws IOException {
        client.close();
    }

    private static int listen(HttpListener listener) throws IOException {
        return listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Guards against work for a client that has left while its connection waited in the listen queue. */
    @Test
    void doesNotSubmitARequestWhoseClientLeftBeforeItWasAccepted() throws Exception {
        try (HttpListener listener = createListener(1)) {
            int port = listen(listener);
            try (Socket only = connect(port)) {
                sendAndKeepOpen(only);
                try (Socket leaving = connect(port)) {
                    send(leaving, SUBMITTED_PATH);
                }
                leave(only);
            }
            try (Socket last = connect(port)) {
                // Accepted only when the connection of the client that has left has ended.
                send(last, "/");
                assertEquals("answer 1", readAnswer(last));
            }
            assertEquals(0, counters.count(Counter.REQUESTS));
            assertEquals(1, counters.count(Counter.CLIENTS_GONE_BEFORE_SUBMISSION));
            listener.stopListening();
        }
    }

    /** Guards against attempts for a client that has left, while the I/O thread is too busy to read its close. */
    @Test
    void findsACloseWhileTheIoThreadIsBusy() throws Exception {
        try (HttpListener listener = createListener(10)) {
            int port = listen(listener);
            try (Socket leaving = connect(port);
                    Socket other = connect(port)) {
                TestExchange open = sendAndKeepOpen(leaving);
                occupyIoThread(other);
                assertFalse(open.hasDisconnected());
                leave(leaving);
                while (!open.hasDisconnected()) {
                    Thread.onSpinWait();
                }
                ioThreadMayContinue.countDown();
                assertEquals("answer 1", readAnswer(other));
            }
            listener.stopListening();
        }
    }

    /** A request that is sent without waiting for the answer is rejected, also if a look for a close finds it first. */
    @Test
    void rejectsAPipelinedRequestThatWasFoundWhileTheIoThreadIsBusy() throws Exception {
        try (HttpListener listener = createListener(10)) {
            int port = listen(listener);
            try (Socket pipelining = connect(port);
                    Socket other = connect(port)) {
                TestExchange open = sendAndKeepOpen(pipelining);
                occupyIoThread(other);
                send(pipelining, "/");
                assertFalse(open.hasDisconnected());
                ioThreadMayContinue.countDown();
                assertEquals("answer 1", readAnswer(other));
                open.answer();
                assertEquals("answer 2", readAnswer(pipelining));
                String rejection = new String(pipelining.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(rejection.startsWith("HTTP/1.1 503 "), rejection);
            }
            listener.stopListening();
        }
    }

    /** Guards against a request that is never answered, as a late look for a close has moved it into the buffer. */
    @Test
    void answersTheNextRequestThatWasFoundWhileTheIoThreadIsBusy() throws Exception {
        try (HttpListener listener = createListener(10)) {
            int port = listen(listener);
            try (Socket client = connect(port);
                    Socket other = connect(port)) {
                TestExchange answered = sendAndKeepOpen(client);
                answered.answer();
                assertEquals("answer 1", readAnswer(client));
                occupyIoThread(other);
                send(client, "/");
                assertFalse(answered.hasDisconnected());
                ioThreadMayContinue.countDown();
                assertEquals("answer 2", readAnswer(other));
                assertEquals("answer 3", readAnswer(client));
            }
            listener.stopListening();
        }
    }

    /** Guards against a front that lives and answers nobody, after an error has ended its I/O thread. */
    @Test
    void servesNewConnectionsAfterAnErrorOutsideOfAConnection() throws Exception {
        try (HttpListener listener = createListener(2)) {
            int port = listen(listener);
            try (Socket open = connect(port);
                    Socket failing = connect(port)) {
                sendAndKeepOpen(open);
                send(failing, UNCONFINED_PATH);
                awaitClose(failing);
                awaitClose(open);
            }
            // Both connections count no more, or there would be no room for these.
            try (Socket first = connect(port);
                    Socket second = connect(port)) {
                send(first, "/");
                assertEquals("answer 1", readAnswer(first));
                send(second, "/");
                assertEquals("answer 2", readAnswer(second));
            }
            assertEquals(1, counters.count(Counter.CLIENT_IO_RESTARTS));
            listener.stopListening();
        }
    }

    /** Guards against an error on one connection that ends the I/O thread, and with it all other connections. */
    @Test
    void anErrorOfOneConnectionLeavesTheOthersOpen() throws Exception {
        try (HttpListener listener = createListener(10)) {
            int port = listen(listener);
            try (Socket other = connect(port);
                    Socket failing = connect(port)) {
                send(other, "/");
                assertEquals("answer 1", readAnswer(other));
                send(failing, FAILING_PATH);
                awaitClose(failing);
                send(other, "/");
                assertEquals("answer 2", readAnswer(other));
            }
            listener.stopListening();
        }
    }
}

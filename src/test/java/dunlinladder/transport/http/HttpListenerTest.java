package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What becomes of the other connections of a listener when one connection fails. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpListenerTest {

    private static final Limits LIMITS = LimitsBuilder.limits().build();
    private static final String FAILING_PATH = "/failing";

    private final AtomicInteger answers = new AtomicInteger();

    /** Answers each request at once; a request with the failing path causes an error. */
    private final class TestExchange extends ServerExchange {

        TestExchange() {
            super(null, LIMITS, () -> false, new AtomicLong());
        }

        @Override
        protected void requestReceived(HttpRequest head, byte[] content) {
            if (path(head).equals(FAILING_PATH)) {
                throw new StackOverflowError("thrown by the test");
            }
            answer(200, "text/plain", "answer " + answers.incrementAndGet(), Map.of());
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

    private static void send(Socket client, String path) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
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

    /** Guards against an error on one connection that ends the I/O thread, and with it all other connections. */
    @Test
    void anErrorOfOneConnectionLeavesTheOthersOpen() throws Exception {
        try (HttpListener listener = new HttpListener(10, LIMITS, new Counters(), TestExchange::new)) {
            int port = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), port);
                    Socket failing = new Socket(InetAddress.getLoopbackAddress(), port)) {
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

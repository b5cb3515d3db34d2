package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.junit.jupiter.api.Test;

/** A close that another thread decides while a request's head comes. */
class ClientConnectionTest {

    private static final Limits LIMITS = LimitsBuilder.limits().build();
    private static final String HEAD = "POST /v1 HTTP/1.1\nHost: x\nContent-Length: 4\n\n";

    private final List<String> sessionCalls = new ArrayList<>();
    private final TestInputBuffer buffer = new TestInputBuffer();
    private final ProtocolIOSession session = (ProtocolIOSession) Proxy.newProxyInstance(
            getClass().getClassLoader(), new Class<?>[] {ProtocolIOSession.class}, (proxy, method, arguments) -> {
                sessionCalls.add(method.getName());
                return null;
            });
    private final ClientConnection connection =
            new ClientConnection(session, new ConnectionArrival(0, 0), LIMITS, Http1Config.DEFAULT, () -> {
                throw new IllegalStateException("no exchange is opened here");
            });

    /** The rest comes behind the close: it must not be taken, as its answer would find no connection. */
    @Test
    void takesNoRequestWhoseHeadBecomesCompleteAfterTheClose() throws Exception {
        buffer.put(HEAD.substring(0, 30));
        assertNull(connection.parse(buffer, false));
        connection.close();
        assertEquals(List.of("close"), sessionCalls);
        buffer.put(HEAD.substring(30));
        assertThrows(ConnectionClosedException.class, () -> connection.parse(buffer, false));
    }

    /** The head is whole and its exchange not yet open: the close waits for the answer. */
    @Test
    void answersARequestWhoseHeadIsCompleteBeforeTheClose() throws Exception {
        buffer.put(HEAD);
        assertNotNull(connection.parse(buffer, false));
        connection.close();
        assertEquals(List.of("enqueue"), sessionCalls);
    }

    @Test
    void closesAnIdleConnectionOnItsIoThread() {
        connection.close();
        connection.end();
        connection.end();
        assertEquals(List.of("enqueue", "enqueue"), sessionCalls);
    }
}

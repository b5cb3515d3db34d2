package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.Proxy;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

/** Errors of one connection. */
class ConfinedEventHandlerTest {

    private final IOSession session = (IOSession) Proxy.newProxyInstance(
            getClass().getClassLoader(), new Class<?>[] {IOSession.class}, (proxy, method, arguments) -> null);

    /** Guards against a lack of memory for a new connection's buffers that ends the I/O thread of all connections. */
    @Test
    void anErrorWhileTheHandlerIsCreatedIsAnExceptionOfThatConnection() {
        ConfinedEventHandler handler = new ConfinedEventHandler(() -> {
            throw new OutOfMemoryError("thrown by the test");
        });
        assertThrows(IOException.class, () -> handler.connected(session));
        assertDoesNotThrow(() -> handler.exception(session, new IOException("thrown by the test")));
        assertDoesNotThrow(() -> handler.disconnected(session));
    }
}

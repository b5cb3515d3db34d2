package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How addresses of engines are read. */
class EngineAddressTest {

    /** Where there is no DNS a look-up holds up its thread, and all that waits for it, for seconds. */
    @Test
    void addressIsNotLookedUpInDns() throws Exception {
        assertEquals("127.0.0.1", EngineAddress.host("127.0.0.1:80").getHostName());
    }
}

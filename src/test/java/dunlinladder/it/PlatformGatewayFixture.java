package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A gateway with stubs of its own for each test, and requests in the platform's protocol. */
abstract class PlatformGatewayFixture {

    /** Id of the request that a test is about. */
    final String requestId = RunningGateway.nextRequestId();

    RunningGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = RunningGateway.builder().start();
    }

    @AfterEach
    void closeGateway() throws IOException {
        gateway.close();
    }

    /** Sends a request on a connection that is open already. */
    static void send(TestClient client, String id, String serviceClass, String timeout, String body)
            throws IOException {
        client.send("POST", "/v1/chat/completions", RunningGateway.platformHeaders(id, serviceClass, timeout), body);
    }

    /** Sends a plain lookup with a new id on the connection and reads its whole answer; returns the status. */
    static int lookupStatus(TestClient client) throws IOException {
        send(client, RunningGateway.nextRequestId(), "lookup", "4.0", "plain");
        return statusOfWholeAnswer(client);
    }

    private static int statusOfWholeAnswer(TestClient client) throws IOException {
        assertTrue(client.readHead());
        assertFalse(client.readBody().endsWith("(cut)"), "an answer to a plain request is whole");
        return client.status;
    }

    /** Sends a plain lookup on a new connection; returns the status. */
    static int lookupStatus(RunningGateway gateway) throws IOException {
        try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "lookup", "4.0", "plain")) {
            return statusOfWholeAnswer(client);
        }
    }

    int lookupStatus() throws IOException {
        return lookupStatus(gateway);
    }
}

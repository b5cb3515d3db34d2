package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** System calls of the gateway's process fail for a moment, as Linux documents it. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SystemCallFaultsTest {

    private static final int FAILURES = 5;
    /** Enough that a thread fails to be made where the time-keeping thread asks for it. */
    private static final int MANY_FAILURES = 12;

    private static final int CLIENTS = 20;

    private MachineFaults faults;
    private RunningGateway gateway;

    @BeforeEach
    void startGateway() throws Exception {
        faults = new MachineFaults();
        gateway = RunningGateway.builder().machineFaults(faults).start();
    }

    @AfterEach
    void closeGateway() throws Exception {
        gateway.close();
        faults.close();
    }

    /** A listener that ends with the first failure lives on as a process that refuses all connections. */
    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void acceptsAgainAfterAcceptHasFailed(MachineFaults.Errno errno) throws Exception {
        faults.fail(MachineFaults.Call.ACCEPT, errno, FAILURES);
        for (int i = 0; i < CLIENTS; i++) {
            assertEquals(200, PlatformGatewayFixture.lookupStatus(gateway));
        }
        assertEquals(0, faults.failuresLeft(MachineFaults.Call.ACCEPT));
    }

    /** What was never sent may go elsewhere, so that a request which must not run twice is served all the same. */
    @ParameterizedTest
    @CsvSource({
        "SOCKET, EMFILE",
        "SOCKET, ENFILE",
        "SOCKET, ENOBUFS",
        "SOCKET, ENOMEM",
        "CONNECT, EADDRNOTAVAIL",
        "CONNECT, ENETUNREACH",
        "CONNECT, ENOBUFS"
    })
    void servesARequestWhoseFirstConnectionCannotBeMade(MachineFaults.Call call, MachineFaults.Errno errno)
            throws Exception {
        faults.fail(call, errno, 1);
        try (TestClient client = gateway.post(RunningGateway.nextRequestId(), "listing", "5.0", "plain")) {
            assertTrue(client.readHead());
            assertEquals(200, client.status);
            assertTrue(client.readBody().endsWith("data: [DONE]\n\n"));
        }
        assertEquals(0, faults.failuresLeft(call));
    }

    /** Found by the soak: the gateway connects to itself as it starts, and ended where that failed once. */
    @ParameterizedTest
    @CsvSource({"SOCKET, EMFILE", "SOCKET, ENFILE", "CONNECT, EADDRNOTAVAIL", "ACCEPT, ENFILE"})
    void startsWhereASystemCallFailsForAMoment(MachineFaults.Call call, MachineFaults.Errno errno) throws Exception {
        try (MachineFaults early = new MachineFaults()) {
            early.fail(call, errno, FAILURES);
            try (RunningGateway started =
                    RunningGateway.builder().machineFaults(early).start()) {
                assertEquals(200, PlatformGatewayFixture.lookupStatus(started));
            }
        }
    }

    /** Neither a request nor the watch of the engine list may hang on a thread that cannot be made for a moment. */
    @Test
    void servesAndWatchesAgainAfterThreadsCouldNotBeMade() throws Exception {
        Await.until(() -> gateway.discovery.receivedRequests.size() == 1);
        faults.fail(MachineFaults.Call.THREAD, MachineFaults.Errno.EAGAIN, MANY_FAILURES);
        gateway.discovery.closeConnections();
        Await.until(() ->
                faults.failuresLeft(MachineFaults.Call.THREAD) == 0 && gateway.discovery.receivedRequests.size() > 1);
        assertEquals(200, PlatformGatewayFixture.lookupStatus(gateway));
    }

    @Test
    void servesWhenReadsAndWritesMoveThreeBytesAtATime() throws Exception {
        faults.boundSocketBytes(3);
        for (int i = 0; i < CLIENTS; i++) {
            assertEquals(200, PlatformGatewayFixture.lookupStatus(gateway));
        }
        assertEquals(CLIENTS, gateway.decodeRequestCount("POST", "plain"));
    }
}

package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.ArrivalDeadlines;
import dunlinladder.core.Attempt;
import dunlinladder.core.AttemptListener;
import dunlinladder.core.Counter;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Outcome;
import dunlinladder.core.Request;
import dunlinladder.core.ResponseSink;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** One attempt on the wire. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineCallTest {

    private static final EngineRequest PAYLOAD =
            new EngineRequest("POST", "/", "text/plain", new byte[] {1}, StreamTerminator.DONE_MARKER);

    private static ResponseSink clientThatHasLeft() {
        return (ResponseSink) Proxy.newProxyInstance(
                EngineCallTest.class.getClassLoader(),
                new Class<?>[] {ResponseSink.class},
                (proxy, method, arguments) -> method.getName().equals("hasDisconnected"));
    }

    private static AttemptListener ignoringListener() {
        return (AttemptListener) Proxy.newProxyInstance(
                EngineCallTest.class.getClassLoader(),
                new Class<?>[] {AttemptListener.class},
                (proxy, method, arguments) -> null);
    }

    private static Attempt attempt(Engine engine, double deadline) {
        Request request = new Request(
                "id",
                0,
                0,
                new Request.Prompt(1, 0, 10, 0, 10),
                deadline,
                Request.Resubmission.NONE,
                PAYLOAD,
                id -> true);
        return new Attempt(request, 0, engine, deadline, Double.POSITIVE_INFINITY, ArrivalDeadlines.NONE, true);
    }

    /** Guards against an attempt for a client that has left while the attempt waited for a connection. */
    @Test
    void writesNothingForAClientThatLeftBeforeTheConnectionWasEstablished() throws Exception {
        try (EngineConnectionFixture fixture = new EngineConnectionFixture(1);
                ServerSocket server = EngineConnectionFixture.silentServer()) {
            Engine engine = EngineConnectionFixture.engine("e1", EngineConnectionFixture.addressOf(server), 0);
            EngineTransport.Call call = fixture.client(List.of(engine))
                    .send(attempt(engine, new MonotonicClock().now() + 10), clientThatHasLeft(), ignoringListener());
            assertEquals(
                    Outcome.Ending.CONNECT_FAILED,
                    call.awaitEndOrStream().orElseThrow().ending());
            assertEquals(1, fixture.counters.count(Counter.SENDS_REFUSED_CLIENT_GONE));
        }
    }
}

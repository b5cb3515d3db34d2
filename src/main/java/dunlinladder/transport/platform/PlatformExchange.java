package dunlinladder.transport.platform;

import dunlinladder.core.Clock;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.Limits;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.Seconds;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.http.ServerExchange;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpRequest;

/** One request in the platform's protocol; its client as the core sees it. */
public final class PlatformExchange extends ServerExchange implements ResponseSink {

    private static final String TEXT = "text/plain; charset=utf-8";

    /** What all exchanges of this front share. */
    public record Shared(
            Dispatcher dispatcher,
            PlatformRequestReader reader,
            Clock clock,
            Limits limits,
            BooleanSupplier draining,
            BooleanSupplier closing,
            AtomicLong bodies) {}

    private final Shared shared;
    private boolean open;

    /** Creates the exchange for one request. */
    public PlatformExchange(Shared shared) {
        super(shared.dispatcher, shared.limits, shared.closing, shared.bodies);
        this.shared = shared;
    }

    @Override
    protected void received(HttpRequest head, byte[] content) {
        double now = shared.clock.now();
        String path = path(head);
        boolean up = path.equals("/up");
        if (!up && !path.equals("/v1/chat/completions")) {
            answer(404, TEXT, "no such path\n", Map.of());
        } else if (!head.getMethod().equals(up ? "GET" : "POST")) {
            answer(405, TEXT, "wrong method\n", Map.of("Allow", up ? "GET" : "POST"));
        } else if (up) {
            boolean ready = !shared.draining.getAsBoolean();
            answer(ready ? 200 : 503, TEXT, ready ? "up\n" : "draining\n", Map.of());
        } else {
            take(
                    head,
                    new EngineRequest(head.getMethod(), head.getRequestUri(), header(head, "Content-Type"), content),
                    now);
        }
    }

    private void take(HttpRequest head, EngineRequest forward, double now) {
        try {
            if (!take(shared.reader.read(name -> header(head, name), forward, now), this)) {
                throw new InvalidInputException("X-Request-ID is in use");
            }
        } catch (InvalidInputException e) {
            answer(400, TEXT, e.getMessage() + "\n", Map.of());
        }
    }

    @Override
    protected void tooLong() {
        answer(413, TEXT, "the body is over " + shared.limits.bodyBytes() + " bytes\n", Map.of());
    }

    // ---- The core's side ----

    @Override
    public void writeEvents(ByteBuffer piece, IntConsumer taken) {
        if (!open) {
            open = true;
            open("text/event-stream", Map.of("Cache-Control", "no-cache"));
        }
        write(piece, taken);
    }

    @Override
    public void complete() {
        finish();
    }

    @Override
    public void abortStream() {
        abort();
    }

    @Override
    public void reject(double retryAfter) {
        double advice = retryAfter > 0 ? retryAfter : shared.limits.retryAfterSeconds();
        answer(503, TEXT, "refused: trying again is harmless\n", Map.of("Retry-After", Seconds.text(advice)));
    }

    @Override
    public void fail(Failure why) {
        answer(why == Failure.TIMEOUT ? 504 : why == Failure.ENGINE ? 502 : 500, TEXT, "failed\n", Map.of());
    }
}

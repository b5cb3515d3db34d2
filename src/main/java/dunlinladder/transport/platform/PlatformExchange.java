package dunlinladder.transport.platform;

import dunlinladder.core.Dispatcher;
import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.Seconds;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.engine.StreamTerminator;
import dunlinladder.transport.http.MemoryBudget;
import dunlinladder.transport.http.ServerExchange;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;

/**
 * One request in the platform's protocol, and the {@link ResponseSink} for its response. Invalid input is answered here
 * and never reaches an engine. The engine's events are sent to the client unchanged, and each is flushed separately.
 */
public final class PlatformExchange extends ServerExchange implements ResponseSink {

    private static final String HEALTH_PATH = "/up";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String EVENT_STREAM = "text/event-stream";

    /**
     * The objects that all exchanges of this front share.
     *
     * @param draining whether new clients must not be sent to this gateway; the health check reports it
     * @param closing whether connections must close after their response
     * @param requestMemory limits the heap that the data of all requests takes
     */
    public record Context(
            Dispatcher dispatcher,
            PlatformRequestReader reader,
            MonotonicClock clock,
            Limits limits,
            BooleanSupplier draining,
            BooleanSupplier closing,
            MemoryBudget requestMemory) {}

    private final Context context;
    private boolean streaming;

    /** Creates the exchange for one request. */
    public PlatformExchange(Context context) {
        super(context.dispatcher, context.limits, context.closing, context.requestMemory);
        this.context = context;
    }

    // ---- The request ----

    @Override
    protected void requestReceived(HttpRequest head, byte[] content) {
        // The deadline counts from the earliest time at which the client may have sent the request.
        double earliestSentAt = context.clock.now() - maxSecondsSinceSend();
        String path = path(head);
        boolean healthCheck = path.equals(HEALTH_PATH);
        String allowedMethod = healthCheck ? GET : POST;
        if (!healthCheck && !path.equals(COMPLETIONS_PATH)) {
            answer(HttpStatus.SC_NOT_FOUND, TEXT, "no such path\n", Map.of());
        } else if (!head.getMethod().equals(allowedMethod)) {
            answer(HttpStatus.SC_METHOD_NOT_ALLOWED, TEXT, "wrong method\n", Map.of(HttpHeaders.ALLOW, allowedMethod));
        } else if (healthCheck) {
            answerHealthCheck();
        } else {
            submit(head, content, earliestSentAt);
        }
    }

    private void answerHealthCheck() {
        if (context.draining.getAsBoolean()) {
            answer(HttpStatus.SC_SERVICE_UNAVAILABLE, TEXT, "draining\n", Map.of());
        } else {
            answer(HttpStatus.SC_OK, TEXT, "up\n", Map.of());
        }
    }

    private void submit(HttpRequest head, byte[] content, double earliestSentAt) {
        EngineRequest engineRequest = new EngineRequest(
                head.getMethod(),
                head.getRequestUri(),
                header(head, HttpHeaders.CONTENT_TYPE),
                content,
                StreamTerminator.DONE_MARKER);
        try {
            if (!submit(context.reader.read(name -> header(head, name), engineRequest, earliestSentAt), this)) {
                throw new InvalidInputException(PlatformRequestReader.REQUEST_ID + " is in use or was used");
            }
        } catch (InvalidInputException e) {
            answer(HttpStatus.SC_BAD_REQUEST, TEXT, e.getMessage() + "\n", Map.of());
        }
    }

    @Override
    protected void bodyTooLong() {
        String message = "the body is over " + context.limits.bodyBytes() + " bytes\n";
        answer(HttpStatus.SC_REQUEST_TOO_LONG, TEXT, message, Map.of());
    }

    // ---- The response, called by the dispatcher ----

    @Override
    public void writeEvents(ByteBuffer events, IntConsumer onWritten) {
        if (!streaming) {
            streaming = true;
            openStream(EVENT_STREAM, Map.of(HttpHeaders.CACHE_CONTROL, "no-cache"));
        }
        write(events, onWritten);
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
        double retryAfterSeconds = retryAfter > 0 ? retryAfter : context.limits.retryAfterSeconds();
        answer(
                HttpStatus.SC_SERVICE_UNAVAILABLE,
                TEXT,
                "refused: trying again is harmless\n",
                Map.of(HttpHeaders.RETRY_AFTER, Seconds.text(retryAfterSeconds)));
    }

    @Override
    public void fail(Failure reason) {
        int status = switch (reason) {
            case TIMEOUT -> HttpStatus.SC_GATEWAY_TIMEOUT;
            case ENGINE -> HttpStatus.SC_BAD_GATEWAY;
            case INTERNAL, REQUEST -> HttpStatus.SC_INTERNAL_SERVER_ERROR;
        };
        answer(status, TEXT, "failed\n", Map.of());
    }
}

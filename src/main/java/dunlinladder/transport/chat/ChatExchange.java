package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Request;
import dunlinladder.core.ResponseSink;
import dunlinladder.migration.EngineEligibility;
import dunlinladder.transport.http.ServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;

/**
 * One request in any of the published formats; its client as the core sees it. Takes the request in, streams the reply
 * or sends it whole, and words the errors. Bad input is answered here and touches no engine.
 *
 * <p>The request is read on the connection's I/O thread. What the core calls comes one call at a time, and only once
 * the request has been handed to it.
 */
public final class ChatExchange extends ServerExchange implements ResponseSink {

    static final String JSON = "application/json";

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String API_KEY = "x-api-key";
    private static final String WARNINGS = "X-Translation-Warnings";
    private static final String SHOULD_RETRY = "X-Should-Retry";

    /**
     * What all exchanges of this front share.
     *
     * @param routing which engines may have a request, by their generations
     * @param closing whether connections are to close with their answer
     * @param bodies counts the bytes of all request bodies that are held
     */
    public record Shared(
            Dispatcher dispatcher,
            ChatSettings settings,
            EngineEligibility routing,
            EngineRegistry engines,
            MonotonicClock clock,
            Limits limits,
            BooleanSupplier closing,
            AtomicLong bodies) {}

    private final Shared shared;
    /** Text for the client that has not been handed to the connection yet. */
    private final StringBuilder pending = new StringBuilder();

    private final Consumer<String> translated = text -> openedOutput().append(text);
    private ApiFormat format = ApiFormat.CHAT;
    /** The three are null until the request has been read. */
    private ClientRequest client;

    private ChatEngineRequest engineRequest;
    private ChatReplyRelay relay;
    private boolean streaming;

    /** Creates the exchange for one request. */
    public ChatExchange(Shared shared) {
        super(shared.dispatcher, shared.limits, shared.closing, shared.bodies);
        this.shared = shared;
    }

    // ---- The request ----

    @Override
    protected void requestReceived(HttpRequest head, byte[] content) {
        double now = shared.clock.now() - maxSecondsSinceSend();
        try {
            String path = path(head);
            boolean listing = ModelListing.serves(path);
            format = listing ? ApiFormat.CHAT : formatAt(path);
            String allowed = listing ? GET : POST;
            if (!head.getMethod().equals(allowed)) {
                ChatError error = ChatError.methodNotAllowed(allowed);
                answer(error.status, JSON, error.json(format), Map.of(HttpHeaders.ALLOW, allowed));
                return;
            }
            int tenant = TenantAuthenticator.tenant(
                    header(head, API_KEY), header(head, HttpHeaders.AUTHORIZATION), shared.settings.tenants());
            if (listing) {
                answer(HttpStatus.SC_OK, JSON, ModelListing.answer(path, shared.settings), Map.of());
            } else {
                submit(content, tenant, now);
            }
        } catch (ChatError e) {
            answer(e, Map.of());
        }
    }

    private static ApiFormat formatAt(String path) {
        for (ApiFormat format : ApiFormat.values()) {
            if (format.path().equals(path)) {
                return format;
            }
        }
        throw ChatError.unknownPath(path);
    }

    private void submit(byte[] content, int tenant, double now) {
        Collection<ApiFormat> engineFormats = shared.routing.formats();
        client = ClientRequest.read(format, content, engineFormats, shared.settings, tenant);
        relay = new ChatReplyRelay(client, shared.clock, this::openedOutput);
        engineRequest = new ChatEngineRequest(shared, client, !isNonIdempotent());
        engineRequest.checkExpressible(engineFormats, now);
        int serviceClass = client.asked().model().serviceClass();
        submit(
                new Request(
                        client.id(),
                        serviceClass,
                        tenant,
                        client.asked().prompt(),
                        now + shared.settings.deadlines().get(serviceClass),
                        Request.Resubmission.NONE,
                        engineRequest,
                        engineRequest::isEligible),
                this);
    }

    private boolean isNonIdempotent() {
        return shared.settings.nonIdempotent().get(client.asked().model().serviceClass());
    }

    @Override
    protected void bodyTooLong() {
        answer(ChatError.bodyTooLong(shared.limits.bodyBytes()), Map.of());
    }

    // ---- The reply ----

    @Override
    public void writeEvents(ByteBuffer events, IntConsumer onWritten) {
        int size = events.remaining();
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (translator.isEmpty()) {
            relay.read(events);
        } else {
            translator.get().translateChunk(events, translated);
        }
        if (pending.isEmpty()) {
            onWritten.accept(size);
        } else {
            writePending(size, onWritten);
        }
    }

    /** The engine may go on once the client has taken all that its bytes, so many, turned into. */
    private void writePending(int size, IntConsumer onWritten) {
        ByteBuffer bytes = takePending();
        int[] remaining = {bytes.remaining()};
        write(bytes, written -> {
            remaining[0] -= written;
            if (remaining[0] == 0) {
                onWritten.accept(size);
            }
        });
    }

    private ByteBuffer takePending() {
        ByteBuffer bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
        pending.setLength(0);
        return bytes;
    }

    private StringBuilder openedOutput() {
        if (!streaming) {
            streaming = true;
            openStream(EVENT_STREAM, withWarnings(Map.of(HttpHeaders.CACHE_CONTROL, "no-cache")));
        }
        return pending;
    }

    /** Headers of an answer: what was left out of the request is told, not passed over. */
    private Map<String, String> withWarnings(Map<String, String> others) {
        if (client.warnings().isEmpty()) {
            return others;
        }
        Map<String, String> headers = new LinkedHashMap<>(others);
        headers.put(WARNINGS, String.join("; ", client.warnings()).replaceAll("[^\\x20-\\x7e]", "?"));
        return headers;
    }

    private void closeStream() {
        write(takePending(), written -> {});
        finish();
    }

    @Override
    public void complete() {
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (translator.isPresent()) {
            completeTranslated(translator.get());
        } else if (!relay.isComplete()) {
            abortStream();
        } else if (client.asked().streaming()) {
            relay.sendDone();
            closeStream();
        } else {
            answer(HttpStatus.SC_OK, JSON, relay.completeReply(), Map.of());
        }
    }

    private void completeTranslated(ReplyTranslator translator) {
        translator.endOfStream(translated);
        if (!translator.isComplete()) {
            abortStream();
        } else if (client.asked().streaming()) {
            closeStream();
        } else {
            String reply = translator.completeReply().toString();
            answer(HttpStatus.SC_OK, JSON, reply, withWarnings(Map.of()));
        }
    }

    /** A stream without its closing event is broken: the client is told so, and never gets a [DONE]. */
    @Override
    public void abortStream() {
        ChatError error = ChatError.replyBroken();
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (!streaming) {
            fail(error);
        } else if (translator.isPresent()) {
            ApiError broken = new ApiError(ApiError.Kind.SERVER, error.getMessage(), Optional.empty());
            translator.get().fail(broken, translated);
            closeStream();
        } else {
            relay.send(error.json());
            closeStream();
        }
    }

    // ---- Errors ----

    @Override
    public void reject(double retryAfter) {
        double advice = retryAfter > 0 ? retryAfter : shared.limits.retryAfterSeconds();
        // Client libraries read whole seconds.
        String seconds = Long.toString((long) Math.ceil(advice));
        answer(ChatError.overloaded(), Map.of(HttpHeaders.RETRY_AFTER, seconds));
    }

    @Override
    public void fail(Failure reason) {
        Optional<ApiError> rejection = engineRequest.rejection();
        if (reason == Failure.REQUEST && rejection.isPresent()) {
            answer(
                    ErrorTranslator.status(format, rejection.get().kind()),
                    JSON,
                    ErrorTranslator.encode(format, rejection.get()).toString(),
                    withWarnings(Map.of()));
            return;
        }
        fail(
                switch (reason) {
                    case TIMEOUT -> ChatError.timeout();
                    case ENGINE -> ChatError.engineFailed();
                    case INTERNAL, REQUEST -> ChatError.internal();
                });
    }

    /** Client libraries repeat a 5xx by themselves; this header keeps them from running a request twice. */
    private void fail(ChatError error) {
        answer(error, isNonIdempotent() ? Map.of(SHOULD_RETRY, "false") : Map.of());
    }

    private void answer(ChatError error, Map<String, String> headers) {
        answer(error.status(format), JSON, error.json(format), headers);
    }
}

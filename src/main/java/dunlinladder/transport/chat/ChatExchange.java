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
import dunlinladder.core.RoutingDecision;
import dunlinladder.migration.EngineEligibility;
import dunlinladder.transport.http.MemoryBudget;
import dunlinladder.transport.http.ServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;

/**
 * One request in any of the published API formats, and the {@link ResponseSink} for its response. Receives the request,
 * sends the reply as a stream or as one body, and reports errors in the client's format. An invalid request is answered
 * without contacting an engine.
 *
 * <p>The request is read on the connection's I/O thread. The core calls the methods of {@link ResponseSink} one at a
 * time, and only after the request has been handed to it.
 */
public final class ChatExchange extends ServerExchange implements ResponseSink {

    static final String JSON = "application/json";

    /** Reserved for a body and its translation until the length of the latter is known, as a multiple of the body. */
    private static final int HELD_TO_BODY_RATIO = 4;

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String API_KEY_HEADER = "x-api-key";
    private static final String WARNINGS_HEADER = "X-Translation-Warnings";
    private static final String SHOULD_RETRY_HEADER = "X-Should-Retry";

    /**
     * The objects that all exchanges of this front share.
     *
     * @param eligibility decides which engines may receive a request, by their generations
     * @param closing whether each connection is to be closed after its current answer
     * @param requestMemory limits the heap that the data of all requests takes
     * @param translations limits the heap that parsed bodies take
     */
    public record Context(
            Dispatcher dispatcher,
            ChatSettings settings,
            EngineEligibility eligibility,
            EngineRegistry engines,
            MonotonicClock clock,
            Limits limits,
            BooleanSupplier closing,
            MemoryBudget requestMemory,
            TranslationLimiter translations) {}

    private final Context context;
    /** Text for the client that has not been passed to the connection yet. */
    private final StringBuilder pendingText = new StringBuilder();

    private final Consumer<String> onTranslatedText = text -> openOutput().append(text);
    private ApiFormat format = ApiFormat.CHAT;
    /** This field, {@link #engineRequest} and {@link #relay} are null until the request has been read. */
    private ClientRequest client;

    private ChatEngineRequest engineRequest;
    private ChatReplyRelay relay;
    private boolean streaming;

    /** Creates the exchange for one request. */
    public ChatExchange(Context context) {
        super(context.dispatcher, context.limits, context.closing, context.requestMemory);
        this.context = context;
    }

    // ---- The request ----

    @Override
    protected void requestReceived(HttpRequest head, byte[] content) {
        // The deadline counts from the earliest time at which the client may have sent the request.
        double earliestSentAt = context.clock.now() - maxSecondsSinceSend();
        try {
            String path = path(head);
            boolean listing = ModelListing.serves(path);
            format = listing ? ApiFormat.CHAT : formatOf(path);
            String allowedMethod = listing ? GET : POST;
            if (!head.getMethod().equals(allowedMethod)) {
                ChatError error = ChatError.methodNotAllowed(allowedMethod);
                answer(error.status, JSON, error.json(format), Map.of(HttpHeaders.ALLOW, allowedMethod));
                return;
            }
            int tenant = TenantAuthenticator.tenant(
                    header(head, API_KEY_HEADER), header(head, HttpHeaders.AUTHORIZATION), context.settings.tenants());
            if (listing) {
                answer(HttpStatus.SC_OK, JSON, ModelListing.answer(path, context.settings), Map.of());
            } else {
                submit(content, tenant, earliestSentAt);
            }
        } catch (ChatError e) {
            answer(e, Map.of());
        }
    }

    private static ApiFormat formatOf(String path) {
        for (ApiFormat format : ApiFormat.values()) {
            if (format.path().equals(path)) {
                return format;
            }
        }
        throw ChatError.unknownPath(path);
    }

    private void submit(byte[] content, int tenant, double earliestSentAt) {
        if (!reserveMemory((long) HELD_TO_BODY_RATIO * content.length)) {
            reject(RoutingDecision.NO_ADVICE);
            return;
        }
        context.translations.translate(content, () -> read(content, tenant, earliestSentAt));
        engineRequest.heldBytes().ifPresent(this::reserveMemory);
        int serviceClass = client.details().model().serviceClass();
        submit(
                new Request(
                        client.id(),
                        serviceClass,
                        tenant,
                        client.details().prompt(),
                        earliestSentAt + context.settings.deadlines().get(serviceClass),
                        Request.Resubmission.NONE,
                        engineRequest,
                        engineRequest::isEligible),
                this);
    }

    /** Reads the request, and translates it if all engines have one format; leaves nothing parsed behind. */
    private void read(byte[] content, int tenant, double earliestSentAt) {
        Collection<ApiFormat> engineFormats = context.eligibility.formats();
        client = ClientRequest.read(format, content, engineFormats, context.settings, tenant);
        relay = new ChatReplyRelay(client, context.clock, this::openOutput);
        engineRequest = new ChatEngineRequest(context, client, isClientRetryHarmless());
        try {
            engineRequest.checkExpressible(engineFormats, earliestSentAt);
        } finally {
            client.body().ifPresent(TranslatableBody::discardParsed);
        }
    }

    private boolean isClientRetryHarmless() {
        return context.settings
                .clientRetryHarmless()
                .get(client.details().model().serviceClass());
    }

    @Override
    protected void bodyTooLong() {
        answer(ChatError.bodyTooLong(context.limits.bodyBytes()), Map.of());
    }

    // ---- The reply ----

    @Override
    public void writeEvents(ByteBuffer events, IntConsumer onWritten) {
        int engineBytes = events.remaining();
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (translator.isEmpty()) {
            relay.read(events);
        } else {
            translator.get().translateChunk(events, onTranslatedText);
        }
        if (pendingText.isEmpty()) {
            onWritten.accept(engineBytes);
        } else {
            writePendingText(engineBytes, onWritten);
        }
    }

    /**
     * Writes the pending text. Reports the engine's bytes as written only when all of that text has been written to the
     * client, so that the engine sends no more until then.
     *
     * @param engineBytes number of bytes of the engine's stream from which the text was made
     */
    private void writePendingText(int engineBytes, IntConsumer onWritten) {
        ByteBuffer bytes = takePendingText();
        int[] remaining = {bytes.remaining()};
        write(bytes, written -> {
            remaining[0] -= written;
            if (remaining[0] == 0) {
                onWritten.accept(engineBytes);
            }
        });
    }

    private ByteBuffer takePendingText() {
        ByteBuffer bytes = ByteBuffer.wrap(pendingText.toString().getBytes(StandardCharsets.UTF_8));
        pendingText.setLength(0);
        return bytes;
    }

    private StringBuilder openOutput() {
        if (!streaming) {
            streaming = true;
            openStream(EVENT_STREAM, withWarnings(Map.of(HttpHeaders.CACHE_CONTROL, "no-cache")));
        }
        return pendingText;
    }

    /** Adds a header with the warnings about fields that were left out of the request, if there are any. */
    private Map<String, String> withWarnings(Map<String, String> otherHeaders) {
        if (client.warnings().isEmpty()) {
            return otherHeaders;
        }
        Map<String, String> headers = new LinkedHashMap<>(otherHeaders);
        headers.put(WARNINGS_HEADER, String.join("; ", client.warnings()).replaceAll("[^\\x20-\\x7e]", "?"));
        return headers;
    }

    private void closeStream() {
        write(takePendingText(), written -> {});
        finish();
    }

    /** Sends the pending text, and closes the connection without the last chunk. */
    private void cutStream() {
        write(takePendingText(), written -> {});
        abort();
    }

    @Override
    public void complete() {
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (translator.isPresent()) {
            completeTranslated(translator.get());
        } else if (!relay.isComplete()) {
            abortStream();
        } else if (client.details().streaming()) {
            relay.sendDone();
            closeStream();
        } else {
            answer(HttpStatus.SC_OK, JSON, relay.completeReply(), Map.of());
        }
    }

    private void completeTranslated(ReplyTranslator translator) {
        translator.endOfStream(onTranslatedText);
        if (!translator.isComplete()) {
            abortStream();
        } else if (client.details().streaming()) {
            closeStream();
        } else {
            String reply = translator.completeReply().toString();
            answer(HttpStatus.SC_OK, JSON, reply, withWarnings(Map.of()));
        }
    }

    /**
     * Ends a reply that was interrupted before its closing event: the client gets an error, no {@code [DONE]} and no
     * last chunk.
     */
    @Override
    public void abortStream() {
        ChatError error = ChatError.replyInterrupted();
        Optional<ReplyTranslator> translator = engineRequest.replyTranslator();
        if (!streaming) {
            fail(error);
        } else if (translator.isPresent()) {
            ApiError apiError = new ApiError(ApiError.Kind.SERVER, error.getMessage(), Optional.empty());
            translator.get().fail(apiError, onTranslatedText);
            cutStream();
        } else {
            relay.send(error.json());
            cutStream();
        }
    }

    // ---- Errors ----

    @Override
    public void reject(double retryAfter) {
        double retryAfterSeconds = retryAfter > 0 ? retryAfter : context.limits.retryAfterSeconds();
        // Client libraries expect whole seconds.
        String headerValue = Long.toString((long) Math.ceil(retryAfterSeconds));
        answer(ChatError.overloaded(), Map.of(HttpHeaders.RETRY_AFTER, headerValue));
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

    /**
     * Answers with an error. Client libraries retry after a 5xx status by themselves, so a request that must not run
     * again at whatever engine gets a header that prevents the retry.
     */
    private void fail(ChatError error) {
        answer(error, isClientRetryHarmless() ? Map.of() : Map.of(SHOULD_RETRY_HEADER, "false"));
    }

    private void answer(ChatError error, Map<String, String> headers) {
        answer(error.status(format), JSON, error.json(format), headers);
    }
}

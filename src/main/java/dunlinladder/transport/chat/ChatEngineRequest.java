package dunlinladder.transport.chat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.StrictJson;
import dunlinladder.apiformat.UntranslatableRequestException;
import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.migration.Generation;
import dunlinladder.migration.RequestConstraints;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.engine.EngineRequestFactory;
import dunlinladder.transport.engine.StreamTerminator;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Creates the requests to engines for one client's request, and records for the engines' generations how the attempts
 * ended. Where the client and all engines use the chat completions format, the request and the reply are not
 * translated. Otherwise the request is translated into the engine's format, and the reply back into the client's.
 *
 * <p>Attempts run one after another. The thread of an attempt and the I/O threads share the volatile fields. The other
 * fields are set before the request is handed to the core, or are used only by the thread of the current attempt.
 */
final class ChatEngineRequest implements EngineRequestFactory {

    private static final String POST = "POST";

    private final ChatExchange.Context context;
    private final ClientRequest client;
    private final RequestConstraints constraints;
    /** The format of {@link #encodedBody}; null until a body has been encoded. */
    private ApiFormat encodedFormat;

    private byte[] encodedBody;
    /** Name of the latest attempt's generation when its request was created; empty for an engine without one. */
    private volatile Optional<String> attemptGeneration = Optional.empty();
    /** Translates the reply of the current attempt; empty if the reply is not translated. */
    private volatile Optional<ReplyTranslator> replyTranslator = Optional.empty();

    private volatile Optional<ApiError> rejection = Optional.empty();

    ChatEngineRequest(ChatExchange.Context context, ClientRequest client, boolean repeatable) {
        this.context = context;
        this.client = client;
        this.constraints = new RequestConstraints(client.id(), client.tenant(), repeatable);
    }

    /**
     * Records which formats cannot express the request. A request that is not translated is not checked.
     *
     * @param formats the formats of all generations
     * @param now clock time in seconds
     * @throws ChatError if no listed engine has a format that can express the request, or if the only format cannot
     *     encode it; the client gets this error at once
     */
    void checkExpressible(Collection<ApiFormat> formats, double now) {
        if (client.body().isEmpty()) {
            return;
        }
        Conversation conversation = client.body().get().conversation();
        for (ApiFormat format : formats) {
            RequestTranslator.unsupportedField(format, conversation)
                    .ifPresent(field -> constraints.recordInexpressibleField(format, field));
        }
        if (formats.size() == 1) {
            ApiFormat onlyFormat = formats.iterator().next();
            if (RequestTranslator.unsupportedField(onlyFormat, conversation).isEmpty()) {
                encodeEagerly(onlyFormat, conversation);
            }
        }
        context.eligibility().recordRequest(constraints, now);
        context.eligibility().inexpressibleField(constraints, now).ifPresent(field -> {
            throw ChatError.inexpressible(field);
        });
    }

    /**
     * Encodes the request before an engine is chosen. Some faults are found only by encoding, and the client must get
     * their errors at once.
     */
    private void encodeEagerly(ApiFormat format, Conversation conversation) {
        try {
            encode(format, conversation);
        } catch (UntranslatableRequestException e) {
            throw ChatError.untranslatable(e);
        }
    }

    /** Whether an engine, given by its id, is listed and may receive the request now. */
    boolean isEligible(String engineId) {
        Optional<Engine> engine = context.engines().find(engineId);
        return engine.isPresent()
                && context.eligibility()
                        .isEligible(engine.get(), constraints, context.clock().now());
    }

    /**
     * Returns the heap that the bodies of this request take while it is in flight, in bytes; empty if its translation
     * has not been made yet.
     */
    OptionalLong heldBytes() {
        if (client.body().isEmpty()) {
            return OptionalLong.of(client.details().body().orElseThrow().length);
        }
        return encodedFormat == null
                ? OptionalLong.empty()
                : OptionalLong.of(client.body().get().heldBytes() + encodedBody.length);
    }

    // ---- Requests to engines ----

    @Override
    public EngineRequest requestFor(Engine engine) {
        Optional<Generation> generation = context.eligibility().generationOf(engine);
        ApiFormat engineFormat = generation.map(Generation::format).orElse(ApiFormat.CHAT);
        attemptGeneration = generation.map(Generation::name);
        context.eligibility().recordSent(engine);
        if (client.body().isEmpty()) {
            replyTranslator = Optional.empty();
            byte[] body = client.details().body().orElseThrow();
            return engineRequest(engineFormat, body);
        }
        TranslatableBody body = client.body().get();
        replyTranslator = Optional.of(new ReplyTranslator(
                engineFormat,
                client.format(),
                identity(engineFormat, body),
                client.details().streaming()));
        return engineRequest(engineFormat, encode(engineFormat, body));
    }

    private static EngineRequest engineRequest(ApiFormat format, byte[] body) {
        return new EngineRequest(POST, format.path(), ChatExchange.JSON, body, terminator(format));
    }

    private static StreamTerminator terminator(ApiFormat format) {
        return switch (format) {
            case COMPLETIONS, CHAT -> StreamTerminator.DONE_MARKER;
            case RESPONSES -> StreamTerminator.RESPONSE_EVENT;
            case MESSAGES -> StreamTerminator.MESSAGE_STOP;
        };
    }

    private ReplyEncoder.Identity identity(ApiFormat engineFormat, TranslatableBody body) {
        return new ReplyEncoder.Identity(
                client.id(),
                client.details().modelName(),
                (long) context.clock().now(),
                client.details().includeUsage(),
                body.legacyTools(),
                // Engines repeat the prompt only in the completions format; in other formats the gateway adds it.
                engineFormat == ApiFormat.COMPLETIONS ? "" : body.echoedPrompt());
    }

    /** Returns the request in a format. It is encoded again only when the format differs from the previous one. */
    private byte[] encode(ApiFormat format, TranslatableBody body) {
        if (encodedFormat != format) {
            context.translations().translate(body.content(), () -> {
                try {
                    encode(format, body.conversation());
                } finally {
                    body.discardParsed();
                }
            });
        }
        return encodedBody;
    }

    private void encode(ApiFormat format, Conversation conversation) {
        List<String> newWarnings = new ArrayList<>();
        int defaultMaxTokens = client.details().model().defaultMaxTokens();
        ObjectNode body = RequestTranslator.encode(format, conversation, defaultMaxTokens, newWarnings);
        newWarnings.stream().filter(line -> !client.warnings().contains(line)).forEach(client.warnings()::add);
        // Engines send only streams. The usage is needed at the end of the answer even if the client wants none.
        body.put("stream", true);
        if (format == ApiFormat.CHAT || format == ApiFormat.COMPLETIONS) {
            body.putObject("stream_options").put("include_usage", true);
        }
        encodedBody = StrictJson.bytes(body);
        encodedFormat = format;
    }

    // ---- Results of attempts ----

    /** Returns the translator of the current attempt's reply; empty if the reply is not translated. */
    Optional<ReplyTranslator> replyTranslator() {
        return replyTranslator;
    }

    /** Returns the error of an engine that found the request itself at fault; empty if no engine did. */
    Optional<ApiError> rejection() {
        return rejection;
    }

    @Override
    public boolean isRejection(int status, String body) {
        rejection = ErrorTranslator.requestError(status, body);
        return rejection.isPresent();
    }

    @Override
    public void attemptEnded(Engine engine, Outcome outcome, int status, double firstTokenSeconds) {
        double now = context.clock().now();
        if (outcome.ending() == Outcome.Ending.PREFILLED) {
            constraints.setPrefillGeneration(attemptGeneration);
        } else if (outcome.isKvCacheMissing()) {
            constraints.recordKvCacheLost();
        }
        if (outcome.ending() == Outcome.Ending.ERROR && ErrorTranslator.isFormatUnsupported(status)) {
            context.eligibility().recordNotUnderstood(engine, now);
            return;
        }
        boolean answered = outcome.ending() == Outcome.Ending.OK
                || outcome.ending() == Outcome.Ending.PREFILLED
                || outcome.ending() == Outcome.Ending.REJECTED;
        boolean understood = answered || !Double.isNaN(firstTokenSeconds);
        boolean failed =
                !answered && outcome.ending() != Outcome.Ending.CANCELLED && outcome.ending() != Outcome.Ending.FULL;
        context.eligibility().recordAttemptEnd(engine, understood, failed, firstTokenSeconds, now);
    }
}

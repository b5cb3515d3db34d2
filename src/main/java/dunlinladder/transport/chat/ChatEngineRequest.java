package dunlinladder.transport.chat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.UntranslatableRequestException;
import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.migration.Generation;
import dunlinladder.migration.RequestConstraints;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.engine.EngineRequestFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * What a client's request becomes for each engine, and what the engines' answers show of their generations. Where an
 * engine speaks the client's own format the body goes on as it came, else it is translated there and the reply back.
 *
 * <p>Attempts follow one another. Their thread sets what is volatile here and the I/O threads read it; the rest is set
 * before the request is handed to the core, or touched by the attempt's thread alone.
 */
final class ChatEngineRequest implements EngineRequestFactory {

    private static final String POST = "POST";

    private final ChatExchange.Shared shared;
    private final ClientRequest client;
    private final RequestConstraints constraints;
    /** The format in which {@link #encoded} is, null while there is none. */
    private ApiFormat encodedFormat;

    private byte[] encoded;
    /** The generation to which the engine of the last attempt belonged when it was sent. */
    private volatile Optional<String> generationAsked = Optional.empty();
    /** Of the attempt in flight; empty where its engine speaks the client's own format. */
    private volatile Optional<ReplyTranslator> replyTranslator = Optional.empty();

    private volatile Optional<ApiError> rejection = Optional.empty();

    ChatEngineRequest(ChatExchange.Shared shared, ClientRequest client, boolean repeatable) {
        this.shared = shared;
        this.client = client;
        this.constraints = new RequestConstraints(client.id(), client.tenant(), repeatable);
    }

    /**
     * Finds out which formats can express the request.
     *
     * @throws ChatError where no engine speaks one of them: the client is told now
     */
    void checkExpressible(Collection<ApiFormat> formats, double now) {
        if (client.conversation().isEmpty()) {
            return;
        }
        Conversation conversation = client.conversation().get();
        for (ApiFormat each : formats) {
            RequestTranslator.unsupportedField(each, conversation)
                    .ifPresent(field -> constraints.cannotExpress(each, field));
        }
        if (formats.size() == 1) {
            ApiFormat only = formats.iterator().next();
            if (RequestTranslator.unsupportedField(only, conversation).isEmpty()) {
                encodeAhead(only, conversation);
            }
        }
        shared.routing().recordRequest(constraints, now);
        shared.routing().inexpressibleField(constraints, now).ifPresent(field -> {
            throw ChatError.inexpressible(field);
        });
    }

    /** What only shows when it is written must still be told at once. */
    private void encodeAhead(ApiFormat format, Conversation conversation) {
        try {
            encode(format, conversation);
        } catch (UntranslatableRequestException e) {
            throw ChatError.untranslatable(e);
        }
    }

    /** Whether an engine, by its id, may have the request now. */
    boolean isEligible(String engineId) {
        Optional<Engine> listed = shared.engines().find(engineId);
        return listed.isPresent()
                && shared.routing()
                        .isEligible(listed.get(), constraints, shared.clock().now());
    }

    // ---- What goes to an engine ----

    @Override
    public EngineRequest requestFor(Engine engine) {
        Optional<Generation> generation = shared.routing().generationOf(engine);
        ApiFormat engineFormat = generation.map(Generation::format).orElse(ApiFormat.CHAT);
        generationAsked = generation.map(Generation::name);
        shared.routing().recordSent(engine);
        if (client.conversation().isEmpty()) {
            replyTranslator = Optional.empty();
            byte[] body = client.asked().body().orElseThrow();
            return new EngineRequest(POST, engineFormat.path(), ChatExchange.JSON, body);
        }
        Conversation conversation = client.conversation().get();
        replyTranslator = Optional.of(new ReplyTranslator(
                engineFormat,
                client.format(),
                identity(engineFormat, conversation),
                client.asked().streaming()));
        byte[] body = encode(engineFormat, conversation);
        return new EngineRequest(POST, engineFormat.path(), ChatExchange.JSON, body);
    }

    private ReplyEncoder.Identity identity(ApiFormat engineFormat, Conversation conversation) {
        // Only the completions format itself has engines that repeat the prompt.
        boolean echoHere = conversation.flag(RequestParameter.ECHO) && engineFormat != ApiFormat.COMPLETIONS;
        return new ReplyEncoder.Identity(
                client.id(),
                client.asked().modelName(),
                (long) shared.clock().now(),
                client.asked().includeUsage(),
                conversation.legacyTools(),
                echoHere ? conversation.messages().get(0).text() : "");
    }

    /** The request in a format; written once, and again only for an attempt at an engine of another. */
    private byte[] encode(ApiFormat format, Conversation conversation) {
        if (encodedFormat != format) {
            List<String> leftOut = new ArrayList<>();
            int defaultMaxTokens = client.asked().model().defaultMaxTokens();
            ObjectNode body = RequestTranslator.encode(format, conversation, defaultMaxTokens, leftOut);
            leftOut.stream().filter(line -> !client.warnings().contains(line)).forEach(client.warnings()::add);
            // Engines only stream, and the usage is wanted for the answer's end whatever the client asks.
            body.put("stream", true);
            if (format == ApiFormat.CHAT || format == ApiFormat.COMPLETIONS) {
                body.putObject("stream_options").put("include_usage", true);
            }
            encoded = body.toString().getBytes(StandardCharsets.UTF_8);
            encodedFormat = format;
        }
        return encoded;
    }

    // ---- What the engines' answers show ----

    /** Translates the reply of the attempt in flight; empty where its engine speaks the client's own format. */
    Optional<ReplyTranslator> replyTranslator() {
        return replyTranslator;
    }

    /** The error with which an engine rejected the request as at fault itself; empty where none did. */
    Optional<ApiError> rejection() {
        return rejection;
    }

    @Override
    public boolean isRejection(int status, String body) {
        rejection = ErrorTranslator.requestError(status, body);
        return rejection.isPresent();
    }

    @Override
    public void attemptEnded(Engine engine, Outcome outcome, int status, double firstSeconds) {
        double now = shared.clock().now();
        if (outcome.ending() == Outcome.Ending.PREFILLED) {
            constraints.prefilledBy(generationAsked);
        } else if (outcome.isKvCacheMissing()) {
            constraints.kvCacheLost();
        }
        if (outcome.ending() == Outcome.Ending.ERROR && ErrorTranslator.isFormatUnsupported(status)) {
            shared.routing().recordNotUnderstood(engine, now);
            return;
        }
        boolean answered = outcome.ending() == Outcome.Ending.OK
                || outcome.ending() == Outcome.Ending.PREFILLED
                || outcome.ending() == Outcome.Ending.REJECTED;
        boolean understood = answered || !Double.isNaN(firstSeconds);
        boolean failed =
                !answered && outcome.ending() != Outcome.Ending.CANCELLED && outcome.ending() != Outcome.Ending.FULL;
        shared.routing().recordAttemptEnd(engine, understood, failed, firstSeconds, now);
    }
}

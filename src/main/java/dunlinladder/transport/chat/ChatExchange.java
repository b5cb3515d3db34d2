package dunlinladder.transport.chat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ContentPart;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyEvent;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.ServerSentEventReader;
import dunlinladder.apiformat.StrictJson;
import dunlinladder.apiformat.UntranslatableRequestException;
import dunlinladder.core.Clock;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.Limits;
import dunlinladder.core.Outcome;
import dunlinladder.core.ResponseSink;
import dunlinladder.migration.EngineEligibility;
import dunlinladder.migration.Generation;
import dunlinladder.migration.RequestConstraints;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.engine.EngineRequestFactory;
import dunlinladder.transport.http.ServerExchange;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpRequest;

/**
 * One request in any of the published formats; its client as the core sees it. Where the engines speak the client's own
 * format its body goes on as it came, else it is translated there and its answer back.
 */
public final class ChatExchange extends ServerExchange implements ResponseSink, EngineRequestFactory {

    private static final String JSON = "application/json";

    /** What all exchanges of this front share. */
    public record Shared(
            Dispatcher dispatcher,
            ChatSettings settings,
            EngineEligibility routing,
            EngineRegistry engines,
            Clock clock,
            Limits limits,
            BooleanSupplier closing,
            AtomicLong bodies) {}

    private static final String MODELS = "/v1/models";

    private final Shared shared;
    private final ServerSentEventReader events = new ServerSentEventReader((name, data) -> event(data));
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder out = new StringBuilder();
    private ChatRequest request;
    private ApiFormat format = ApiFormat.CHAT;
    /** Null where all engines speak the client's own format. */
    private Conversation talk;

    private RequestConstraints ask;
    private ApiFormat rendered;
    /** The generation to which the engine of the last attempt belonged when it was sent. */
    private volatile String sentIn;

    private byte[] forward;
    /** Of the attempt that is out; null where its engine speaks the client's own format. */
    private volatile ReplyTranslator translation;

    private volatile ApiError rejection;
    private final List<String> warnings = new ArrayList<>();
    private String id;
    private boolean open;
    private boolean done;
    private boolean failed;
    private Object finishReason;
    private Map<String, Object> usage = Map.of();

    /** Creates the exchange for one request. */
    public ChatExchange(Shared shared) {
        super(shared.dispatcher, shared.limits, shared.closing, shared.bodies);
        this.shared = shared;
    }

    /**
     * Translates a little in each direction, so that the first clients do not wait, and their attempts run out of time,
     * while classes are loaded.
     */
    public static void warm(Collection<ApiFormat> engines) {
        ReplyEncoder.Identity identity = new ReplyEncoder.Identity("0", "warm", 0, true, false, "");
        List<ReplyEvent> answer = List.of(
                new ReplyEvent.Started("0", "warm", 0),
                new ReplyEvent.PartStarted(0, 0, ContentPart.Kind.TEXT, null, null),
                new ReplyEvent.PartDelta(0, 0, "a", null),
                new ReplyEvent.PartFinished(0, 0),
                new ReplyEvent.ChoiceFinished(0, ReplyEvent.Reason.STOP, null),
                new ReplyEvent.Usage(1, 0, 1, 0),
                new ReplyEvent.Completed());
        for (ApiFormat from : engines) {
            ReplyEncoder writer = ReplyEncoder.of(from, identity);
            StringBuilder events = new StringBuilder();
            answer.forEach(event -> events.append(writer.encode(event)));
            byte[] stream = events.toString().getBytes(StandardCharsets.UTF_8);
            for (ApiFormat to : ApiFormat.values()) {
                String talk = to == ApiFormat.COMPLETIONS
                        ? "\"prompt\":\"a\""
                        : to == ApiFormat.RESPONSES
                                ? "\"input\":\"a\""
                                : "\"max_tokens\":1,\"messages\":[{\"role\":\"user\"," + "\"content\":\"a\"}]";
                RequestTranslator.encode(
                        from,
                        RequestTranslator.decode(
                                to,
                                StrictJson.body(("{\"model\":\"warm\"," + talk + "}").getBytes(StandardCharsets.UTF_8)),
                                RequestTranslator.UnknownFields.PASS,
                                new ArrayList<>()),
                        1,
                        new ArrayList<>());
                for (boolean streamed : new boolean[] {true, false}) {
                    ReplyTranslator translation = new ReplyTranslator(from, to, identity, streamed);
                    translation.translateChunk(ByteBuffer.wrap(stream), text -> {});
                    translation.endOfStream(text -> {});
                    if (!streamed) {
                        translation.completeReply();
                    }
                }
            }
        }
    }

    @Override
    protected void received(HttpRequest head, byte[] content) {
        double now = shared.clock.now();
        try {
            String path = path(head);
            boolean models = path.equals(MODELS) || path.startsWith(MODELS + "/");
            ApiFormat asked = Arrays.stream(ApiFormat.values())
                    .filter(f -> f.path().equals(path))
                    .findFirst()
                    .orElse(null);
            if (!models && asked == null) {
                throw new ChatError(404, "unknown path " + path, null, "not_found");
            }
            format = models ? ApiFormat.CHAT : asked;
            String method = models ? "GET" : "POST";
            if (!head.getMethod().equals(method)) {
                ChatError error = new ChatError(405, "use " + method, null, "method_not_allowed");
                answer(405, JSON, error.json(format), Map.of("Allow", method));
                return;
            }
            int tenant = tenant(
                    header(head, "x-api-key") == null
                            ? header(head, "Authorization")
                            : "Bearer " + header(head, "x-api-key"));
            if (models) {
                answer(
                        200,
                        JSON,
                        path.equals(MODELS) ? models() : model(path.substring(MODELS.length() + 1)),
                        Map.of());
                return;
            }
            id = UUID.randomUUID().toString().replace("-", "");
            Collection<ApiFormat> formats = shared.routing.formats();
            boolean plain = format == ApiFormat.CHAT && formats.equals(List.of(ApiFormat.CHAT));
            request = plain ? ChatRequest.read(content, shared.settings, tenant) : parsed(content, tenant);
            boolean once = shared.settings.once().get(request.kind().serviceClass());
            ask = new RequestConstraints(id, tenant, !once);
            if (!plain) {
                fit(formats, now);
            }
            take(
                    request.toCore(
                            id,
                            tenant,
                            now + shared.settings.deadlines().get(request.kind().serviceClass()),
                            this,
                            engine -> {
                                Engine listed = shared.engines.find(engine).orElse(null);
                                return listed != null && shared.routing.isEligible(listed, ask, shared.clock.now());
                            }),
                    this);
        } catch (ChatError e) {
            answer(e.status(format), JSON, e.json(format), Map.of());
        }
    }

    /** Reads a request in the client's format. */
    private ChatRequest parsed(byte[] content, int tenant) {
        try {
            talk = RequestTranslator.decode(format, StrictJson.body(content), shared.settings.unknown(), warnings);
            if (talk.number(RequestParameter.CHOICES, 1) != 1) {
                throw ChatError.invalid("only one choice is offered: n must be 1", "n");
            }
            if (talk.number(RequestParameter.BEST_OF, 1) != 1) {
                throw ChatError.invalid("only one choice is offered: best_of must be 1", "best_of");
            }
            return ChatRequest.of(talk, shared.settings, tenant);
        } catch (UntranslatableRequestException e) {
            throw refused(e);
        }
    }

    private static ChatError refused(UntranslatableRequestException e) {
        return new ChatError(400, e.getMessage(), e.field(), e.malformed() ? "invalid_value" : "unsupported_parameter");
    }

    /** Finds out which formats can express the request; where no engine speaks one, the client is told now. */
    private void fit(Collection<ApiFormat> formats, double now) {
        for (ApiFormat each : formats) {
            String field = RequestTranslator.unsupportedField(each, talk).orElse(null);
            if (field != null) {
                ask.cannotExpress(each, field);
            }
        }
        if (formats.size() == 1
                && RequestTranslator.unsupportedField(formats.iterator().next(), talk)
                        .isEmpty()) {
            try {
                // What only shows when it is written must still be told at once.
                render(formats.iterator().next());
            } catch (UntranslatableRequestException e) {
                throw refused(e);
            }
        }
        shared.routing.recordRequest(ask, now);
        shared.routing.inexpressibleField(ask, now).ifPresent(field -> {
            throw new ChatError(
                    400,
                    field + " can't be expressed in any format that the model's servers speak",
                    field,
                    "unsupported_parameter");
        });
    }

    // ---- The engines' side: what goes to each, and what they show ----

    @Override
    public EngineRequest requestFor(Engine engine) {
        Generation generation = shared.routing.generationOf(engine).orElse(null);
        ApiFormat engines = generation == null ? ApiFormat.CHAT : generation.format();
        sentIn = generation == null ? null : generation.name();
        shared.routing.recordSent(engine);
        if (talk == null) {
            translation = null;
            return new EngineRequest("POST", engines.path(), JSON, request.forward());
        }
        String echo = talk.flag(RequestParameter.ECHO) && engines != ApiFormat.COMPLETIONS
                ? talk.messages().get(0).text()
                : "";
        translation = new ReplyTranslator(
                engines,
                format,
                new ReplyEncoder.Identity(
                        id, request.model(), (long) shared.clock.now(), request.usage(), talk.legacyTools(), echo),
                request.stream());
        return new EngineRequest("POST", engines.path(), JSON, render(engines));
    }

    /** The request in a format; written once, and again only for an attempt at an engine of another. */
    private byte[] render(ApiFormat engines) {
        if (rendered != engines) {
            List<String> left = new ArrayList<>();
            ObjectNode body =
                    RequestTranslator.encode(engines, talk, request.kind().mostTokens(), left);
            left.stream().filter(line -> !warnings.contains(line)).forEach(warnings::add);
            // Engines only stream, and the usage is wanted for the answer's end whatever the client asks.
            body.put("stream", true);
            if (engines == ApiFormat.CHAT || engines == ApiFormat.COMPLETIONS) {
                body.putObject("stream_options").put("include_usage", true);
            }
            forward = body.toString().getBytes(StandardCharsets.UTF_8);
            rendered = engines;
        }
        return forward;
    }

    @Override
    public void attemptEnded(Engine engine, Outcome outcome, int status, double firstSeconds) {
        double now = shared.clock.now();
        if (outcome.ending() == Outcome.Ending.PREFILLED) {
            ask.prefilledBy(Optional.ofNullable(sentIn));
        } else if (outcome.isKvCacheMissing()) {
            ask.kvCacheLost();
        }
        if (outcome.ending() == Outcome.Ending.ERROR && ErrorTranslator.isFormatUnsupported(status)) {
            shared.routing.recordNotUnderstood(engine, now);
            return;
        }
        boolean ok = outcome.ending() == Outcome.Ending.OK
                || outcome.ending() == Outcome.Ending.PREFILLED
                || outcome.ending() == Outcome.Ending.REJECTED;
        shared.routing.recordAttemptEnd(
                engine,
                ok || !Double.isNaN(firstSeconds),
                !ok && outcome.ending() != Outcome.Ending.CANCELLED && outcome.ending() != Outcome.Ending.FULL,
                firstSeconds,
                now);
    }

    @Override
    public boolean isRejection(int status, String body) {
        rejection = ErrorTranslator.requestError(status, body).orElse(null);
        return rejection != null;
    }

    /** Headers of an answer: what was left out of the request is told, not passed over. */
    private Map<String, String> headers(Map<String, String> others) {
        if (warnings.isEmpty()) {
            return others;
        }
        Map<String, String> headers = new LinkedHashMap<>(others);
        headers.put("X-Translation-Warnings", String.join("; ", warnings).replaceAll("[^\\x20-\\x7e]", "?"));
        return headers;
    }

    private int tenant(String authorization) {
        if (authorization != null && authorization.regionMatches(true, 0, "Bearer ", 0, 7)) {
            byte[] key = authorization.substring(7).trim().getBytes(StandardCharsets.UTF_8);
            for (Map.Entry<String, Integer> known : shared.settings.tenants().entrySet()) {
                if (MessageDigest.isEqual(known.getKey().getBytes(StandardCharsets.UTF_8), key)) {
                    return known.getValue();
                }
            }
        }
        throw new ChatError(401, "no valid API key was given", null, "invalid_api_key");
    }

    private String models() {
        return JsonObject.write(Map.of(
                "object",
                "list",
                "data",
                shared.settings.models().keySet().stream()
                        .sorted()
                        .map(ChatExchange::describe)
                        .toList()));
    }

    private String model(String name) {
        ChatRequest.kind(shared.settings, name);
        return JsonObject.write(describe(name));
    }

    private static Map<String, Object> describe(String name) {
        return Map.of("id", name, "object", "model", "created", 0, "owned_by", "dunlinladder");
    }

    @Override
    protected void tooLong() {
        ChatError error = new ChatError(
                413, "the body is over " + shared.limits.bodyBytes() + " bytes", null, "request_too_large");
        answer(413, JSON, error.json(format), Map.of());
    }

    // ---- The engine's events ----

    @Override
    public void writeEvents(ByteBuffer piece, IntConsumer taken) {
        int size = piece.remaining();
        if (translation == null) {
            events.read(piece);
        } else {
            translation.translateChunk(piece, this::translated);
        }
        if (out.length() == 0) {
            taken.accept(size);
        } else {
            // The engine may go on once the client has taken all that these bytes turned into.
            int[] left = {0};
            ByteBuffer bytes = outgoing();
            left[0] = bytes.remaining();
            write(bytes, n -> {
                left[0] -= n;
                if (left[0] == 0) {
                    taken.accept(size);
                }
            });
        }
    }

    private void translated(String text) {
        opened();
        out.append(text);
    }

    private ByteBuffer outgoing() {
        ByteBuffer bytes = ByteBuffer.wrap(out.toString().getBytes(StandardCharsets.UTF_8));
        out.setLength(0);
        return bytes;
    }

    private void event(String data) {
        if (done || failed) {
            return;
        }
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        try {
            JsonObject event = JsonObject.parse(data);
            if (event.has("error")) {
                failed = true;
            } else {
                chunk(event);
            }
        } catch (InvalidInputException e) {
            failed = true;
        }
    }

    private void chunk(JsonObject event) {
        List<JsonObject> choices = event.has("choices") ? event.children("choices") : List.of();
        if (event.has("usage")) {
            usage = event.child("usage").fields();
        }
        if (!choices.isEmpty()) {
            JsonObject choice = choices.get(0);
            text.append(request.stream() ? "" : choice.childOrEmpty("delta").text("content", ""));
            finishReason = choice.has("finish_reason") ? choice.text("finish_reason") : finishReason;
        }
        if (request.stream() && (!choices.isEmpty() || request.usage())) {
            Map<String, Object> fields = envelope("chat.completion.chunk");
            fields.putAll(event.fields());
            if (!open && !choices.isEmpty()) {
                Map<String, Object> delta = new LinkedHashMap<>(Map.of("role", "assistant"));
                delta.putAll(choices.get(0).childOrEmpty("delta").fields());
                Map<String, Object> choice = new LinkedHashMap<>(choices.get(0).fields());
                choice.put("delta", delta);
                fields.put("choices", List.of(choice));
            }
            send(JsonObject.write(fields));
        }
    }

    private Map<String, Object> envelope(String object) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", "chatcmpl-" + id);
        fields.put("object", object);
        fields.put("created", (long) shared.clock.now());
        fields.put("model", request.model());
        return fields;
    }

    private void opened() {
        if (!open) {
            open = true;
            open("text/event-stream", headers(Map.of("Cache-Control", "no-cache")));
        }
    }

    private void send(String data) {
        opened();
        out.append("data: ").append(data).append("\n\n");
    }

    private void close(String last) {
        send(last);
        close();
    }

    private void close() {
        write(outgoing(), n -> {});
        finish();
    }

    // ---- The core's verdict ----

    @Override
    public void complete() {
        if (translation != null) {
            translation.endOfStream(this::translated);
            if (!translation.isComplete()) {
                broken();
            } else if (request.stream()) {
                close();
            } else {
                answer(200, JSON, translation.completeReply().toString(), headers(Map.of()));
            }
        } else if (!done || failed) {
            broken();
        } else if (request.stream()) {
            close("[DONE]");
        } else {
            Map<String, Object> fields = envelope("chat.completion");
            Map<String, Object> choice = new LinkedHashMap<>();
            choice.put("index", 0);
            choice.put("message", Map.of("role", "assistant", "content", text.toString()));
            choice.put("finish_reason", finishReason);
            fields.put("choices", List.of(choice));
            fields.put("usage", usage);
            answer(200, JSON, JsonObject.write(fields), Map.of());
        }
    }

    @Override
    public void abortStream() {
        broken();
    }

    /** A stream without its closing event is not whole: the client is told so, and never gets a [DONE]. */
    private void broken() {
        ChatError error = new ChatError(502, "the answer broke off", null, "upstream_error");
        if (open && translation != null) {
            translation.fail(
                    new ApiError(ApiError.Kind.SERVER, error.getMessage(), Optional.empty()), this::translated);
            close();
        } else if (open) {
            close(error.json());
        } else {
            fail(error);
        }
    }

    @Override
    public void reject(double retryAfter) {
        double advice = retryAfter > 0 ? retryAfter : shared.limits.retryAfterSeconds();
        ChatError error = new ChatError(429, "no capacity now; trying again is harmless", null, "overloaded");
        answer(error.status(format), JSON, error.json(format), Map.of("Retry-After", Long.toString((long)
                Math.ceil(advice))));
    }

    @Override
    public void fail(Failure why) {
        if (why == Failure.REQUEST) {
            answer(
                    ErrorTranslator.status(format, rejection.kind()),
                    JSON,
                    ErrorTranslator.encode(format, rejection).toString(),
                    headers(Map.of()));
            return;
        }
        fail(
                switch (why) {
                    case TIMEOUT -> new ChatError(504, "no answer in time", null, "timeout");
                    case ENGINE -> new ChatError(502, "the model server failed", null, "upstream_error");
                    case INTERNAL, REQUEST -> new ChatError(500, "the gateway failed", null, "internal_error");
                });
    }

    /** Client libraries repeat a 5xx by themselves; this header keeps them from running a request twice. */
    private void fail(ChatError error) {
        boolean once = shared.settings.once().get(request.kind().serviceClass());
        answer(error.status(format), JSON, error.json(format), once ? Map.of("X-Should-Retry", "false") : Map.of());
    }
}

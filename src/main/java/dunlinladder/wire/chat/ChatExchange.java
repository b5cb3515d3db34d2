package dunlinladder.wire.chat;

import dunlinladder.core.Client;
import dunlinladder.core.Clock;
import dunlinladder.core.Dispatcher;
import dunlinladder.core.Limits;
import dunlinladder.wire.BadInput;
import dunlinladder.wire.Json;
import dunlinladder.wire.ServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.HttpRequest;

/** One request in the OpenAI-style chat API; its client as the core sees it. */
public final class ChatExchange extends ServerExchange implements Client {

    private static final String JSON = "application/json";

    /** What all exchanges of this front share. */
    public record Shared(Dispatcher dispatcher, ChatSettings settings, Clock clock, Limits limits,
            BooleanSupplier closing, AtomicLong bodies) { }

    private final Shared shared;
    private final EventReader events = new EventReader(this::event);
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder out = new StringBuilder();
    private ChatRequest request;
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

    @Override
    protected void received(HttpRequest head, byte[] content) {
        double now = shared.clock.now();
        try {
            String path = path(head);
            boolean models = path.equals("/v1/models");
            if (!models && !path.equals("/v1/chat/completions")) {
                throw new ChatError(404, "unknown path " + path, null, "not_found");
            }
            String method = models ? "GET" : "POST";
            if (!head.getMethod().equals(method)) {
                answer(405, JSON, new ChatError(405, "use " + method, null, "method_not_allowed").json(),
                        Map.of("Allow", method));
                return;
            }
            int tenant = tenant(header(head, "Authorization"));
            if (models) {
                answer(200, JSON, models(), Map.of());
            } else {
                request = ChatRequest.read(content, shared.settings, tenant);
                id = UUID.randomUUID().toString().replace("-", "");
                take(request.toCore(id, tenant,
                        now + shared.settings.deadlines().get(request.kind().serviceClass())), this);
            }
        } catch (ChatError e) {
            answer(e.status, JSON, e.json(), Map.of());
        }
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
        return Json.write(Map.of("object", "list", "data", shared.settings.models().keySet().stream().sorted()
                .map(name -> Map.of("id", name, "object", "model", "created", 0, "owned_by", "dunlinladder"))
                .toList()));
    }

    @Override
    protected void tooLong() {
        ChatError error = new ChatError(413, "the body is over " + shared.limits.bodyBytes() + " bytes", null,
                "request_too_large");
        answer(413, JSON, error.json(), Map.of());
    }

    // ---- The engine's events ----

    @Override
    public void data(ByteBuffer piece, IntConsumer taken) {
        int size = piece.remaining();
        events.read(piece);
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
            Json event = Json.parse(data);
            if (event.has("error")) {
                failed = true;
            } else {
                chunk(event);
            }
        } catch (BadInput e) {
            failed = true;
        }
    }

    private void chunk(Json event) {
        List<Json> choices = event.has("choices") ? event.children("choices") : List.of();
        if (event.has("usage")) {
            usage = event.child("usage").fields();
        }
        if (!choices.isEmpty()) {
            Json choice = choices.get(0);
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
            send(Json.write(fields));
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

    private void send(String data) {
        if (!open) {
            open = true;
            open("text/event-stream", Map.of("Cache-Control", "no-cache"));
        }
        out.append("data: ").append(data).append("\n\n");
    }

    private void close(String last) {
        send(last);
        write(outgoing(), n -> { });
        finish();
    }

    // ---- The core's verdict ----

    @Override
    public void end() {
        if (!done || failed) {
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
            answer(200, JSON, Json.write(fields), Map.of());
        }
    }

    @Override
    public void cut() {
        broken();
    }

    /** A stream without its closing event is not whole: the client is told so, and never gets a [DONE]. */
    private void broken() {
        ChatError error = new ChatError(502, "the answer broke off", null, "upstream_error");
        if (open) {
            close(error.json());
        } else {
            fail(error);
        }
    }

    @Override
    public void refuse(double retryAfter) {
        double advice = retryAfter > 0 ? retryAfter : shared.limits.retryAfterSeconds();
        answer(429, JSON, new ChatError(429, "no capacity now; trying again is harmless", null,
                "overloaded").json(), Map.of("Retry-After", Long.toString((long) Math.ceil(advice))));
    }

    @Override
    public void fail(Failure why) {
        fail(switch (why) {
            case TIMEOUT -> new ChatError(504, "no answer in time", null, "timeout");
            case ENGINE -> new ChatError(502, "the model server failed", null, "upstream_error");
            case INTERNAL -> new ChatError(500, "the gateway failed", null, "internal_error");
        });
    }

    /** Client libraries repeat a 5xx by themselves; this header keeps them from running a listing twice. */
    private void fail(ChatError error) {
        boolean once = shared.settings.once().get(request.kind().serviceClass());
        answer(error.status, JSON, error.json(), once ? Map.of("X-Should-Retry", "false") : Map.of());
    }
}

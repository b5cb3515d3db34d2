package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An answer out of the neutral model in a client's format, as a stream or whole. What the client sees of the answer's
 * identity (id, model, time) is the gateway's and stays the same through the stream, whatever engine it comes from.
 */
public abstract class ReplyEncoder {

    static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    /**
     * What the answer is to be like.
     *
     * @param id of the answer, without the prefix that a format puts before it
     * @param model as the client named it
     * @param created in Unix seconds
     * @param includeUsage whether a stream ends with its usage, where the format leaves that to the client
     * @param legacyTools whether tools are called by the older names
     * @param echo the prompt that is put before the reply; empty for none
     */
    public record Identity(
            String id, String model, long created, boolean includeUsage, boolean legacyTools, String echo) {}

    final Identity identity;
    private final StringBuilder out = new StringBuilder();
    ReplyEvent.Usage usage = new ReplyEvent.Usage(-1, -1, -1, -1);

    ReplyEncoder(Identity identity) {
        this.identity = identity;
    }

    /** The writer for a format. */
    public static ReplyEncoder of(ApiFormat format, Identity identity) {
        return switch (format) {
            case COMPLETIONS -> new Text(identity);
            case CHAT -> new Chat(identity);
            case RESPONSES -> new Responses(identity);
            case MESSAGES -> new Messages(identity);
        };
    }

    /** The text of the stream that an event turns into; often none. */
    public final String encode(ReplyEvent event) {
        if (event instanceof ReplyEvent.Usage told) {
            usage = told;
        }
        write(event);
        String text = out.toString();
        out.setLength(0);
        return text;
    }

    /** A whole answer out of all its events, which end with {@link ReplyEvent.Completed}. */
    public final ObjectNode encodeComplete(List<ReplyEvent> events) {
        Map<Integer, List<Piece>> choices = new LinkedHashMap<>();
        Map<Integer, ReplyEvent.ChoiceFinished> ends = new LinkedHashMap<>();
        for (ReplyEvent event : events) {
            if (event instanceof ReplyEvent.PartStarted open) {
                choices.computeIfAbsent(open.choice(), c -> new ArrayList<>()).add(new Piece(open));
            } else if (event instanceof ReplyEvent.PartDelta grow) {
                choices.get(grow.choice()).get(grow.part()).grow(grow);
            } else if (event instanceof ReplyEvent.PartSignature seal) {
                choices.get(seal.choice()).get(seal.part()).seal = seal.signature();
            } else if (event instanceof ReplyEvent.ChoiceFinished finish) {
                ends.put(finish.choice(), finish);
                choices.computeIfAbsent(finish.choice(), c -> new ArrayList<>());
            } else if (event instanceof ReplyEvent.Usage told) {
                usage = told;
            }
        }
        return body(choices, ends);
    }

    /** A part of a whole answer. */
    static final class Piece {
        final ReplyEvent.PartStarted open;
        final StringBuilder text = new StringBuilder();
        final ArrayNode logprobs = JSON.arrayNode();
        String seal;

        Piece(ReplyEvent.PartStarted open) {
            this.open = open;
        }

        void grow(ReplyEvent.PartDelta grow) {
            text.append(grow.text());
            if (grow.logprobs() != null) {
                grow.logprobs().forEach(logprobs::add);
            }
        }
    }

    /** Writes what an event turns into. */
    abstract void write(ReplyEvent event);

    /** The body of a whole answer. */
    abstract ObjectNode body(Map<Integer, List<Piece>> choices, Map<Integer, ReplyEvent.ChoiceFinished> ends);

    final void send(JsonNode data) {
        out.append("data: ").append(data).append("\n\n");
    }

    final void send(String name, JsonNode data) {
        out.append("event: ").append(name).append('\n');
        send(data);
    }

    final void marker() {
        out.append("data: [DONE]\n\n");
    }

    /** The usage as chat completions and the legacy text API have it. */
    final ObjectNode chatUsage() {
        ObjectNode node = JSON.objectNode();
        node.put("prompt_tokens", Math.max(0, usage.prompt()))
                .put("completion_tokens", Math.max(0, usage.output()))
                .put("total_tokens", Math.max(0, usage.prompt()) + Math.max(0, usage.output()));
        if (usage.cached() >= 0) {
            node.putObject("prompt_tokens_details").put("cached_tokens", usage.cached());
        }
        if (usage.reasoning() >= 0) {
            node.putObject("completion_tokens_details").put("reasoning_tokens", usage.reasoning());
        }
        return node;
    }

    final ObjectNode envelope(String prefix, String object) {
        return JSON.objectNode()
                .put("id", prefix + identity.id)
                .put("object", object)
                .put("created", identity.created)
                .put("model", identity.model);
    }

    /** Chat completions. */
    private static final class Chat extends ReplyEncoder {

        private final Map<Integer, Map<Integer, Integer>> calls = new HashMap<>();
        private final Map<Integer, Map<Integer, ContentPart.Kind>> kinds = new HashMap<>();
        private final Map<Integer, Boolean> begun = new HashMap<>();

        Chat(Identity identity) {
            super(identity);
        }

        @Override
        void write(ReplyEvent event) {
            if (event instanceof ReplyEvent.PartStarted open) {
                kinds.computeIfAbsent(open.choice(), c -> new HashMap<>()).put(open.part(), open.kind());
                if (open.kind() == ContentPart.Kind.CALL) {
                    Map<Integer, Integer> known = calls.computeIfAbsent(open.choice(), c -> new HashMap<>());
                    known.put(open.part(), known.size());
                    ObjectNode delta = JSON.objectNode();
                    if (identity.legacyTools) {
                        delta.putObject("function_call")
                                .put("name", open.name())
                                .put("arguments", "");
                    } else {
                        delta.putArray("tool_calls")
                                .addObject()
                                .put("index", known.size() - 1)
                                .put("id", open.callId())
                                .put("type", "function")
                                .putObject("function")
                                .put("name", open.name())
                                .put("arguments", "");
                    }
                    chunk(open.choice(), delta, null, null);
                }
            } else if (event instanceof ReplyEvent.PartDelta grow) {
                grow(grow);
            } else if (event instanceof ReplyEvent.ChoiceFinished finish) {
                chunk(finish.choice(), JSON.objectNode(), null, reason(finish.reason(), identity.legacyTools));
            } else if (event instanceof ReplyEvent.Failed failed) {
                send(ErrorTranslator.encode(ApiFormat.CHAT, failed.error()));
            } else if (event instanceof ReplyEvent.Completed) {
                if (identity.includeUsage) {
                    ObjectNode last = envelope("chatcmpl-", "chat.completion.chunk");
                    last.putArray("choices");
                    last.set("usage", chatUsage());
                    send(last);
                }
                marker();
            }
        }

        private void grow(ReplyEvent.PartDelta grow) {
            ObjectNode delta = JSON.objectNode();
            switch (kinds.get(grow.choice()).get(grow.part())) {
                case CALL -> {
                    if (identity.legacyTools) {
                        delta.putObject("function_call").put("arguments", grow.text());
                    } else {
                        delta.putArray("tool_calls")
                                .addObject()
                                .put("index", calls.get(grow.choice()).get(grow.part()))
                                .putObject("function")
                                .put("arguments", grow.text());
                    }
                }
                case REFUSAL -> delta.put("refusal", grow.text());
                case THOUGHT -> delta.put("reasoning_content", grow.text());
                default -> delta.put("content", grow.text());
            }
            chunk(grow.choice(), delta, grow.logprobs(), null);
        }

        private void chunk(int choice, ObjectNode delta, JsonNode logprobs, String reason) {
            ObjectNode node = envelope("chatcmpl-", "chat.completion.chunk");
            ObjectNode each = node.putArray("choices").addObject().put("index", choice);
            if (begun.put(choice, true) == null) {
                ObjectNode first = JSON.objectNode().put("role", "assistant");
                first.setAll(delta);
                each.set("delta", first);
            } else {
                each.set("delta", delta);
            }
            if (logprobs != null) {
                each.putObject("logprobs").set("content", logprobs);
            }
            each.put("finish_reason", reason);
            send(node);
        }

        private static String reason(Reason reason, boolean legacy) {
            return switch (reason) {
                case LENGTH -> "length";
                case CALLS -> legacy ? "function_call" : "tool_calls";
                case FILTER -> "content_filter";
                default -> "stop";
            };
        }

        @Override
        ObjectNode body(Map<Integer, List<Piece>> choices, Map<Integer, ReplyEvent.ChoiceFinished> ends) {
            ObjectNode body = envelope("chatcmpl-", "chat.completion");
            ArrayNode list = body.putArray("choices");
            choices.forEach((index, pieces) -> {
                ObjectNode choice = list.addObject().put("index", index);
                ObjectNode message = choice.putObject("message").put("role", "assistant");
                StringBuilder text = new StringBuilder();
                StringBuilder thought = new StringBuilder();
                StringBuilder refusal = new StringBuilder();
                ArrayNode called = JSON.arrayNode();
                ArrayNode logprobs = JSON.arrayNode();
                for (Piece piece : pieces) {
                    switch (piece.open.kind()) {
                        case CALL ->
                            called.addObject()
                                    .put("id", piece.open.callId())
                                    .put("type", "function")
                                    .putObject("function")
                                    .put("name", piece.open.name())
                                    .put("arguments", piece.text.toString());
                        case THOUGHT -> thought.append(piece.text);
                        case REFUSAL -> refusal.append(piece.text);
                        default -> {
                            text.append(piece.text);
                            logprobs.addAll(piece.logprobs);
                        }
                    }
                }
                message.put(
                        "content",
                        text.isEmpty() && (!called.isEmpty() || !refusal.isEmpty()) ? null : text.toString());
                message.put("refusal", refusal.isEmpty() ? null : refusal.toString());
                if (!thought.isEmpty()) {
                    message.put("reasoning_content", thought.toString());
                }
                if (!called.isEmpty() && identity.legacyTools) {
                    message.set("function_call", called.get(0).get("function"));
                } else if (!called.isEmpty()) {
                    message.set("tool_calls", called);
                }
                if (!logprobs.isEmpty()) {
                    choice.putObject("logprobs").set("content", logprobs);
                }
                choice.put("finish_reason", reason(ends.get(index).reason(), identity.legacyTools));
            });
            body.set("usage", chatUsage());
            return body;
        }
    }

    /** The legacy text API: thoughts have no place in it, refusals are text. */
    private static final class Text extends ReplyEncoder {

        private final Map<Integer, Map<Integer, ContentPart.Kind>> kinds = new HashMap<>();
        private final Map<Integer, Boolean> echoed = new HashMap<>();

        Text(Identity identity) {
            super(identity);
        }

        @Override
        void write(ReplyEvent event) {
            if (event instanceof ReplyEvent.PartStarted open) {
                kinds.computeIfAbsent(open.choice(), c -> new HashMap<>()).put(open.part(), open.kind());
            } else if (event instanceof ReplyEvent.PartDelta grow) {
                if (visible(kinds.get(grow.choice()).get(grow.part()))) {
                    chunk(grow.choice(), grow.text(), grow.logprobs(), null);
                }
            } else if (event instanceof ReplyEvent.ChoiceFinished finish) {
                chunk(finish.choice(), "", null, reason(finish.reason()));
            } else if (event instanceof ReplyEvent.Failed failed) {
                send(ErrorTranslator.encode(ApiFormat.COMPLETIONS, failed.error()));
            } else if (event instanceof ReplyEvent.Completed) {
                if (identity.includeUsage) {
                    ObjectNode last = envelope("cmpl-", "text_completion");
                    last.putArray("choices");
                    last.set("usage", chatUsage());
                    send(last);
                }
                marker();
            }
        }

        private static boolean visible(ContentPart.Kind kind) {
            return kind == ContentPart.Kind.TEXT || kind == ContentPart.Kind.REFUSAL;
        }

        private void chunk(int choice, String text, JsonNode logprobs, String reason) {
            boolean first = echoed.put(choice, true) == null;
            ObjectNode node = envelope("cmpl-", "text_completion");
            ObjectNode each = node.putArray("choices")
                    .addObject()
                    .put("index", choice)
                    .put("text", first ? identity.echo + text : text);
            each.set("logprobs", logprobs == null ? null : lists(logprobs));
            each.put("finish_reason", reason);
            send(node);
        }

        /** The list of tokens into parallel lists. */
        private static ObjectNode lists(JsonNode logprobs) {
            ObjectNode node = JSON.objectNode();
            ArrayNode tokens = node.putArray("tokens");
            ArrayNode values = node.putArray("token_logprobs");
            ArrayNode top = node.putArray("top_logprobs");
            for (JsonNode each : logprobs) {
                tokens.add(each.path("token").asText());
                values.add(each.path("logprob").asDouble());
                ObjectNode others = top.addObject();
                each.path("top_logprobs")
                        .forEach(other -> others.put(
                                other.path("token").asText(),
                                other.path("logprob").asDouble()));
            }
            return node;
        }

        private static String reason(Reason reason) {
            return switch (reason) {
                case LENGTH -> "length";
                case FILTER -> "content_filter";
                default -> "stop";
            };
        }

        @Override
        ObjectNode body(Map<Integer, List<Piece>> choices, Map<Integer, ReplyEvent.ChoiceFinished> ends) {
            ObjectNode body = envelope("cmpl-", "text_completion");
            ArrayNode list = body.putArray("choices");
            choices.forEach((index, pieces) -> {
                StringBuilder text = new StringBuilder(identity.echo);
                ArrayNode logprobs = JSON.arrayNode();
                pieces.stream().filter(piece -> visible(piece.open.kind())).forEach(piece -> {
                    text.append(piece.text);
                    logprobs.addAll(piece.logprobs);
                });
                ObjectNode choice = list.addObject().put("index", index).put("text", text.toString());
                choice.set("logprobs", logprobs.isEmpty() ? null : lists(logprobs));
                choice.put("finish_reason", reason(ends.get(index).reason()));
            });
            body.set("usage", chatUsage());
            return body;
        }
    }

    /** Items and typed events; each event carries its number. */
    private static final class Responses extends ReplyEncoder {

        private final Map<Integer, Piece> open = new HashMap<>();
        private final List<Piece> all = new ArrayList<>();
        private int number;
        private Reason reason = Reason.UNKNOWN;
        private boolean begun;

        Responses(Identity identity) {
            super(identity);
        }

        @Override
        void write(ReplyEvent event) {
            if (!begun && !(event instanceof ReplyEvent.Failed)) {
                begun = true;
                emit("response.created", JSON.objectNode().set("response", response("in_progress", List.of())));
                emit("response.in_progress", JSON.objectNode().set("response", response("in_progress", List.of())));
            }
            if (event instanceof ReplyEvent.PartStarted opened) {
                open(opened);
            } else if (event instanceof ReplyEvent.PartDelta grow) {
                grow(grow);
            } else if (event instanceof ReplyEvent.PartSignature seal) {
                all.get(seal.part()).seal = seal.signature();
            } else if (event instanceof ReplyEvent.PartFinished closed) {
                close(closed.part());
            } else if (event instanceof ReplyEvent.ChoiceFinished finish) {
                reason = finish.reason();
            } else if (event instanceof ReplyEvent.Failed failed) {
                ObjectNode error = (ObjectNode) ErrorTranslator.encode(ApiFormat.RESPONSES, failed.error())
                        .get("error");
                if (begun) {
                    ObjectNode response = response("failed", all);
                    response.putObject("error")
                            .put("code", error.get("code").asText())
                            .put("message", error.get("message").asText());
                    emit("response.failed", JSON.objectNode().set("response", response));
                } else {
                    emit("error", error);
                }
            } else if (event instanceof ReplyEvent.Completed) {
                boolean whole = reason != Reason.LENGTH && reason != Reason.FILTER;
                emit(
                        whole ? "response.completed" : "response.incomplete",
                        JSON.objectNode().set("response", response(whole ? "completed" : "incomplete", all)));
            }
        }

        private void emit(String type, JsonNode fields) {
            ObjectNode event = JSON.objectNode().put("type", type);
            event.setAll((ObjectNode) fields);
            event.put("sequence_number", number++);
            send(type, event);
        }

        private static ObjectNode at(int part, String item) {
            return JSON.objectNode().put("item_id", item).put("output_index", part);
        }

        private String itemId(Piece piece) {
            return switch (piece.open.kind()) {
                        case CALL -> "fc_";
                        case THOUGHT -> "rs_";
                        default -> "msg_";
                    }
                    + identity.id + "_" + piece.open.part();
        }

        private void open(ReplyEvent.PartStarted opened) {
            Piece piece = new Piece(opened);
            all.add(piece);
            open.put(opened.part(), piece);
            emit(
                    "response.output_item.added",
                    JSON.objectNode().put("output_index", opened.part()).set("item", item(piece, "in_progress")));
            if (isMessage(piece)) {
                emit(
                        "response.content_part.added",
                        at(opened.part(), itemId(piece)).put("content_index", 0).set("part", content(piece)));
            } else if (opened.kind() == ContentPart.Kind.THOUGHT) {
                emit(
                        "response.reasoning_summary_part.added",
                        at(opened.part(), itemId(piece))
                                .put("summary_index", 0)
                                .set(
                                        "part",
                                        JSON.objectNode()
                                                .put("type", "summary_text")
                                                .put("text", "")));
            }
        }

        private static boolean isMessage(Piece piece) {
            return piece.open.kind() == ContentPart.Kind.TEXT || piece.open.kind() == ContentPart.Kind.REFUSAL;
        }

        private void grow(ReplyEvent.PartDelta grow) {
            Piece piece = open.get(grow.part());
            piece.grow(grow);
            ObjectNode at = at(grow.part(), itemId(piece));
            switch (piece.open.kind()) {
                case CALL -> emit("response.function_call_arguments.delta", at.put("delta", grow.text()));
                case THOUGHT ->
                    emit(
                            "response.reasoning_summary_text.delta",
                            at.put("summary_index", 0).put("delta", grow.text()));
                case REFUSAL ->
                    emit("response.refusal.delta", at.put("content_index", 0).put("delta", grow.text()));
                default -> {
                    at.put("content_index", 0).put("delta", grow.text());
                    at.set("logprobs", grow.logprobs() == null ? JSON.arrayNode() : grow.logprobs());
                    emit("response.output_text.delta", at);
                }
            }
        }

        private void close(int part) {
            Piece piece = open.remove(part);
            ObjectNode at = at(part, itemId(piece));
            String text = piece.text.toString();
            switch (piece.open.kind()) {
                case CALL -> emit("response.function_call_arguments.done", at.put("arguments", text));
                case THOUGHT -> {
                    emit(
                            "response.reasoning_summary_text.done",
                            at.put("summary_index", 0).put("text", text));
                    emit(
                            "response.reasoning_summary_part.done",
                            at(part, itemId(piece))
                                    .put("summary_index", 0)
                                    .set(
                                            "part",
                                            JSON.objectNode()
                                                    .put("type", "summary_text")
                                                    .put("text", text)));
                }
                default -> {
                    boolean refusal = piece.open.kind() == ContentPart.Kind.REFUSAL;
                    at.put("content_index", 0).put(refusal ? "refusal" : "text", text);
                    if (!refusal) {
                        at.set("logprobs", piece.logprobs);
                    }
                    emit(refusal ? "response.refusal.done" : "response.output_text.done", at);
                    emit(
                            "response.content_part.done",
                            at(part, itemId(piece)).put("content_index", 0).set("part", content(piece)));
                }
            }
            emit(
                    "response.output_item.done",
                    JSON.objectNode().put("output_index", part).set("item", item(piece, "completed")));
        }

        private ObjectNode content(Piece piece) {
            if (piece.open.kind() == ContentPart.Kind.REFUSAL) {
                return JSON.objectNode().put("type", "refusal").put("refusal", piece.text.toString());
            }
            ObjectNode node = JSON.objectNode().put("type", "output_text").put("text", piece.text.toString());
            node.putArray("annotations");
            node.set("logprobs", piece.logprobs);
            return node;
        }

        private ObjectNode item(Piece piece, String status) {
            ObjectNode item = JSON.objectNode().put("id", itemId(piece));
            switch (piece.open.kind()) {
                case CALL ->
                    item.put("type", "function_call")
                            .put("status", status)
                            .put("call_id", piece.open.callId())
                            .put("name", piece.open.name())
                            .put("arguments", piece.text.toString());
                case THOUGHT -> {
                    ArrayNode summary = item.put("type", "reasoning").putArray("summary");
                    if (!piece.text.isEmpty()) {
                        summary.addObject().put("type", "summary_text").put("text", piece.text.toString());
                    }
                    if (piece.seal != null) {
                        item.put("encrypted_content", piece.seal);
                    }
                }
                default -> {
                    ArrayNode content = item.put("type", "message")
                            .put("status", status)
                            .put("role", "assistant")
                            .putArray("content");
                    if (!status.equals("in_progress")) {
                        content.add(content(piece));
                    }
                }
            }
            return item;
        }

        private ObjectNode response(String status, List<Piece> pieces) {
            ObjectNode response = JSON.objectNode()
                    .put("id", "resp_" + identity.id)
                    .put("object", "response")
                    .put("created_at", identity.created)
                    .put("status", status)
                    .put("model", identity.model);
            response.putNull("error");
            if (status.equals("incomplete")) {
                response.putObject("incomplete_details")
                        .put("reason", reason == Reason.FILTER ? "content_filter" : "max_output_tokens");
            } else {
                response.putNull("incomplete_details");
            }
            ArrayNode output = response.putArray("output");
            pieces.forEach(piece -> output.add(item(piece, status.equals("incomplete") ? status : "completed")));
            if (status.equals("in_progress") || status.equals("failed")) {
                response.putNull("usage");
            } else {
                ObjectNode node = response.putObject("usage").put("input_tokens", Math.max(0, usage.prompt()));
                node.putObject("input_tokens_details").put("cached_tokens", Math.max(0, usage.cached()));
                node.put("output_tokens", Math.max(0, usage.output()));
                node.putObject("output_tokens_details").put("reasoning_tokens", Math.max(0, usage.reasoning()));
                node.put("total_tokens", Math.max(0, usage.prompt()) + Math.max(0, usage.output()));
            }
            return response;
        }

        @Override
        ObjectNode body(Map<Integer, List<Piece>> choices, Map<Integer, ReplyEvent.ChoiceFinished> ends) {
            reason = ends.get(0).reason();
            return response(
                    reason == Reason.LENGTH || reason == Reason.FILTER ? "incomplete" : "completed", choices.get(0));
        }
    }

    /** Content blocks. */
    private static final class Messages extends ReplyEncoder {

        private final Map<Integer, ContentPart.Kind> kinds = new HashMap<>();
        private ReplyEvent.ChoiceFinished finish;
        private boolean begun;
        /** The block that is open, -1 for none, and what waits for its end: blocks never overlap here. */
        private int current = -1;

        private final List<ReplyEvent> waiting = new ArrayList<>();

        Messages(Identity identity) {
            super(identity);
        }

        @Override
        void write(ReplyEvent event) {
            if (!begun && !(event instanceof ReplyEvent.Failed)) {
                begun = true;
                ObjectNode message = message();
                message.putArray("content");
                message.putNull("stop_reason");
                message.putNull("stop_sequence");
                message.putObject("usage").put("input_tokens", 0).put("output_tokens", 0);
                send(
                        "message_start",
                        JSON.objectNode().put("type", "message_start").set("message", message));
            }
            if (part(event) >= 0) {
                inOrder(event);
            } else if (event instanceof ReplyEvent.ChoiceFinished told) {
                finish = told;
            } else if (event instanceof ReplyEvent.Failed failed) {
                send("error", ErrorTranslator.encode(ApiFormat.MESSAGES, failed.error()));
            } else if (event instanceof ReplyEvent.Completed) {
                ObjectNode last = JSON.objectNode().put("type", "message_delta");
                last.putObject("delta")
                        .put("stop_reason", reason(finish.reason()))
                        .put("stop_sequence", finish.sequence());
                last.set("usage", tokens());
                send("message_delta", last);
                send("message_stop", JSON.objectNode().put("type", "message_stop"));
            }
        }

        private static int part(ReplyEvent event) {
            return event instanceof ReplyEvent.PartStarted open
                    ? open.part()
                    : event instanceof ReplyEvent.PartDelta grow
                            ? grow.part()
                            : event instanceof ReplyEvent.PartSignature seal
                                    ? seal.part()
                                    : event instanceof ReplyEvent.PartFinished close ? close.part() : -1;
        }

        private void inOrder(ReplyEvent event) {
            if (current >= 0 && part(event) != current) {
                waiting.add(event);
                return;
            }
            current = part(event);
            block(event);
            if (event instanceof ReplyEvent.PartFinished) {
                current = -1;
                List<ReplyEvent> next = List.copyOf(waiting);
                waiting.clear();
                next.forEach(this::inOrder);
            }
        }

        private void block(ReplyEvent event) {
            if (event instanceof ReplyEvent.PartStarted open) {
                kinds.put(open.part(), open.kind());
                ObjectNode block = switch (open.kind()) {
                    case CALL ->
                        JSON.objectNode()
                                .put("type", "tool_use")
                                .put("id", open.callId())
                                .put("name", open.name())
                                .set("input", JSON.objectNode());
                    case THOUGHT ->
                        JSON.objectNode()
                                .put("type", "thinking")
                                .put("thinking", "")
                                .put("signature", "");
                    default -> JSON.objectNode().put("type", "text").put("text", "");
                };
                send(
                        "content_block_start",
                        JSON.objectNode()
                                .put("type", "content_block_start")
                                .put("index", open.part())
                                .set("content_block", block));
            } else if (event instanceof ReplyEvent.PartDelta grow
                    && !grow.text().isEmpty()) {
                delta(
                        grow.part(),
                        switch (kinds.get(grow.part())) {
                            case CALL ->
                                JSON.objectNode()
                                        .put("type", "input_json_delta")
                                        .put("partial_json", grow.text());
                            case THOUGHT ->
                                JSON.objectNode().put("type", "thinking_delta").put("thinking", grow.text());
                            default ->
                                JSON.objectNode().put("type", "text_delta").put("text", grow.text());
                        });
            } else if (event instanceof ReplyEvent.PartSignature seal) {
                delta(
                        seal.part(),
                        JSON.objectNode().put("type", "signature_delta").put("signature", seal.signature()));
            } else if (event instanceof ReplyEvent.PartFinished close) {
                send(
                        "content_block_stop",
                        JSON.objectNode().put("type", "content_block_stop").put("index", close.part()));
            }
        }

        private void delta(int part, JsonNode delta) {
            send(
                    "content_block_delta",
                    JSON.objectNode()
                            .put("type", "content_block_delta")
                            .put("index", part)
                            .set("delta", delta));
        }

        private ObjectNode message() {
            return JSON.objectNode()
                    .put("id", "msg_" + identity.id)
                    .put("type", "message")
                    .put("role", "assistant")
                    .put("model", identity.model);
        }

        /** This format counts what was found kept apart from the rest of the prompt. */
        private ObjectNode tokens() {
            long cached = Math.max(0, usage.cached());
            return JSON.objectNode()
                    .put("input_tokens", Math.max(0, usage.prompt() - cached))
                    .put("cache_read_input_tokens", cached)
                    .put("output_tokens", Math.max(0, usage.output()));
        }

        private static String reason(Reason reason) {
            return switch (reason) {
                case SEQUENCE -> "stop_sequence";
                case LENGTH -> "max_tokens";
                case CALLS -> "tool_use";
                case FILTER, REFUSAL -> "refusal";
                default -> "end_turn";
            };
        }

        @Override
        ObjectNode body(Map<Integer, List<Piece>> choices, Map<Integer, ReplyEvent.ChoiceFinished> ends) {
            ObjectNode body = message();
            ArrayNode content = body.putArray("content");
            for (Piece piece : choices.get(0)) {
                ObjectNode block = content.addObject();
                switch (piece.open.kind()) {
                    case CALL ->
                        block.put("type", "tool_use")
                                .put("id", piece.open.callId())
                                .put("name", piece.open.name())
                                .set("input", StrictJson.object(piece.text.toString(), "arguments"));
                    case THOUGHT ->
                        block.put("type", "thinking")
                                .put("thinking", piece.text.toString())
                                .put("signature", piece.seal == null ? "" : piece.seal);
                    default -> block.put("type", "text").put("text", piece.text.toString());
                }
            }
            ReplyEvent.ChoiceFinished end = ends.get(0);
            body.put("stop_reason", reason(end.reason())).put("stop_sequence", end.sequence());
            body.set("usage", tokens());
            return body;
        }
    }
}

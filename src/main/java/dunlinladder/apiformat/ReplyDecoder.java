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
import java.util.Optional;
import java.util.TreeSet;

/**
 * An engine's answer into the neutral model, event by event. What can't be understood is a {@link ReplyEvent.Failed} of
 * kind GARBLED; after that, and after the end, nothing counts.
 */
public abstract class ReplyDecoder {

    private final List<ReplyEvent> out = new ArrayList<>();
    private final Map<String, int[]> open = new LinkedHashMap<>();
    private final Map<Integer, Integer> next = new HashMap<>();
    private final TreeSet<Integer> finished = new TreeSet<>();
    private boolean begun;
    private boolean over;

    /** The reader for a format. */
    public static ReplyDecoder of(ApiFormat format) {
        return switch (format) {
            case COMPLETIONS -> new Text();
            case CHAT -> new Chat();
            case RESPONSES -> new Responses();
            case MESSAGES -> new Messages();
        };
    }

    /** One event of a stream: its {@code event:} name, which may be null, and its data. */
    public final List<ReplyEvent> decodeEvent(String name, String data) {
        if (over) {
            return List.of();
        }
        if (data.equals("[DONE]")) {
            done();
            return taken();
        }
        JsonNode node = StrictJson.parse(data);
        if (!node.isObject()) {
            garbled("an event is not a JSON object");
        } else if (node.path("error").isObject() && !node.has("choices")) {
            fail(ErrorTranslator.decode(0, node));
        } else {
            read(node.path("type").asText(name == null ? "" : name), node);
        }
        return taken();
    }

    /** A whole answer that was not streamed. */
    public final List<ReplyEvent> decodeComplete(byte[] body) {
        JsonNode node;
        try {
            node = StrictJson.body(body);
        } catch (UntranslatableRequestException e) {
            garbled("the answer is not a JSON object");
            return taken();
        }
        if (node.path("error").isObject()) {
            fail(ErrorTranslator.decode(0, node));
        } else {
            wholeAnswer(node);
        }
        return taken();
    }

    /** The connection's orderly end: an answer without its closing event has failed. */
    public final List<ReplyEvent> endOfStream() {
        if (!over) {
            garbled("the answer ended without its closing event");
        }
        return taken();
    }

    /** Reads one event; {@code type} is its own, or the name of its event. */
    abstract void read(String type, JsonNode event);

    /** Reads a whole answer. */
    abstract void wholeAnswer(JsonNode body);

    /** The marker behind the last event, where a format has one. */
    void done() {
        garbled("a marker that does not belong there");
    }

    private List<ReplyEvent> taken() {
        List<ReplyEvent> events = List.copyOf(out);
        out.clear();
        return events;
    }

    // ---- What the formats are read into ----

    final void begin(JsonNode from, String created) {
        if (!begun) {
            begun = true;
            out.add(new ReplyEvent.Started(
                    from.path("id").asText(""),
                    from.path("model").asText(""),
                    from.path(created).asLong()));
        }
    }

    final void open(int choice, String key, ContentPart.Kind kind, String callId, String name) {
        if (!open.containsKey(key)) {
            int part = next.merge(choice, 1, Integer::sum) - 1;
            open.put(key, new int[] {choice, part});
            out.add(new ReplyEvent.PartStarted(choice, part, kind, callId, name));
        }
    }

    final boolean isOpen(String key) {
        return open.containsKey(key);
    }

    final void grow(String key, String text, JsonNode logprobs) {
        int[] at = open.get(key);
        if (at == null) {
            garbled("a piece of a part that is not open");
        } else if (!text.isEmpty() || logprobs != null) {
            out.add(new ReplyEvent.PartDelta(at[0], at[1], text, logprobs));
        }
    }

    final void seal(String key, String seal) {
        int[] at = open.get(key);
        if (at != null && seal != null && !seal.isEmpty()) {
            out.add(new ReplyEvent.PartSignature(at[0], at[1], seal));
        }
    }

    final void close(String key) {
        int[] at = open.remove(key);
        if (at != null) {
            out.add(new ReplyEvent.PartFinished(at[0], at[1]));
        }
    }

    final void finish(int choice, Reason reason, String sequence) {
        open.entrySet().stream()
                .filter(e -> e.getValue()[0] == choice)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::close);
        if (finished.add(choice)) {
            out.add(new ReplyEvent.ChoiceFinished(choice, reason, sequence));
        }
    }

    final void usage(long prompt, long cached, long output, long reasoning) {
        out.add(new ReplyEvent.Usage(prompt, cached, output, reasoning));
    }

    /** The answer is whole, if each of its choices is. */
    final void ends() {
        if (finished.isEmpty() || !open.isEmpty()) {
            garbled("the answer ended before it was whole");
        } else {
            over = true;
            out.add(new ReplyEvent.Completed());
        }
    }

    final void fail(ApiError fault) {
        over = true;
        out.add(new ReplyEvent.Failed(fault));
    }

    final void garbled(String what) {
        fail(new ApiError(ApiError.Kind.GARBLED, what, Optional.empty()));
    }

    /** A number that may be missing. */
    static long number(JsonNode node, String field) {
        return node.path(field).isNumber() ? node.get(field).asLong() : -1;
    }

    private static String textOf(JsonNode node, String field) {
        return node.path(field).isTextual() ? node.get(field).asText() : "";
    }

    private static JsonNode nonNull(JsonNode node) {
        return node == null || node.isNull() || node.isMissingNode() ? null : node;
    }

    /** Chat completions, whole or in chunks. */
    private static final class Chat extends ReplyDecoder {

        @Override
        void read(String type, JsonNode event) {
            begin(event, "created");
            for (JsonNode choice : event.path("choices")) {
                take(choice, choice.path("delta"));
            }
            if (event.path("usage").isObject()) {
                chatUsage(event.get("usage"));
            }
        }

        @Override
        void wholeAnswer(JsonNode body) {
            begin(body, "created");
            for (JsonNode choice : body.path("choices")) {
                take(choice, choice.path("message"));
            }
            if (body.path("usage").isObject()) {
                chatUsage(body.get("usage"));
            }
            ends();
        }

        private void take(JsonNode choice, JsonNode delta) {
            int index = choice.path("index").asInt();
            String thought = textOf(delta, "reasoning_content");
            if (!thought.isEmpty()) {
                piece(index, "thought", ContentPart.Kind.THOUGHT, thought, null);
            }
            String text = textOf(delta, "content");
            JsonNode logprobs = nonNull(choice.path("logprobs").path("content"));
            if (!text.isEmpty() || logprobs != null) {
                piece(index, "text", ContentPart.Kind.TEXT, text, logprobs);
            }
            String refusal = textOf(delta, "refusal");
            if (!refusal.isEmpty()) {
                piece(index, "refusal", ContentPart.Kind.REFUSAL, refusal, null);
            }
            int position = 0;
            for (JsonNode call : delta.path("tool_calls")) {
                call(
                        index,
                        index + "call" + call.path("index").asInt(position++),
                        call.path("id").asText(null),
                        call.path("function"));
            }
            if (delta.path("function_call").isObject()) {
                JsonNode function = delta.get("function_call");
                call(index, index + "call", "call_" + function.path("name").asText(), function);
            }
            if (choice.path("finish_reason").isTextual()) {
                finish(
                        index,
                        switch (choice.get("finish_reason").asText()) {
                            case "stop" -> Reason.STOP;
                            case "length" -> Reason.LENGTH;
                            case "tool_calls", "function_call" -> Reason.CALLS;
                            case "content_filter" -> Reason.FILTER;
                            default -> Reason.UNKNOWN;
                        },
                        null);
            }
        }

        /** Words of one kind end when those of another, or a call, begin; calls may grow side by side. */
        private void piece(int index, String key, ContentPart.Kind kind, String text, JsonNode logprobs) {
            closeWords(index, key);
            open(index, index + key, kind, null, null);
            grow(index + key, text, logprobs);
        }

        private void closeWords(int index, String but) {
            for (String key : List.of("thought", "text", "refusal")) {
                if (!key.equals(but)) {
                    close(index + key);
                }
            }
        }

        private void call(int index, String key, String id, JsonNode function) {
            closeWords(index, null);
            if (!isOpen(key)) {
                if (id == null || !function.path("name").isTextual()) {
                    garbled("a tool's call without id or name");
                    return;
                }
                open(index, key, ContentPart.Kind.CALL, id, function.get("name").asText());
            }
            grow(key, textOf(function, "arguments"), null);
        }

        @Override
        void done() {
            ends();
        }
    }

    final void chatUsage(JsonNode usage) {
        usage(
                number(usage, "prompt_tokens"),
                number(usage.path("prompt_tokens_details"), "cached_tokens"),
                number(usage, "completion_tokens"),
                number(usage.path("completion_tokens_details"), "reasoning_tokens"));
    }

    /** The legacy text API. */
    private static final class Text extends ReplyDecoder {

        @Override
        void read(String type, JsonNode event) {
            begin(event, "created");
            for (JsonNode choice : event.path("choices")) {
                int index = choice.path("index").asInt();
                String text = textOf(choice, "text");
                JsonNode logprobs = nonNull(choice.path("logprobs"));
                if (!text.isEmpty() || logprobs != null) {
                    open(index, index + "text", ContentPart.Kind.TEXT, null, null);
                    grow(index + "text", text, logprobs == null ? null : tokens(logprobs));
                }
                if (choice.path("finish_reason").isTextual()) {
                    finish(
                            index,
                            switch (choice.get("finish_reason").asText()) {
                                case "stop" -> Reason.STOP;
                                case "length" -> Reason.LENGTH;
                                case "content_filter" -> Reason.FILTER;
                                default -> Reason.UNKNOWN;
                            },
                            null);
                }
            }
            if (event.path("usage").isObject()) {
                chatUsage(event.get("usage"));
            }
        }

        /** Parallel lists into the list of tokens that the newer formats have. */
        private static JsonNode tokens(JsonNode logprobs) {
            ArrayNode list = JsonNodeFactory.instance.arrayNode();
            for (int i = 0; i < logprobs.path("tokens").size(); i++) {
                ObjectNode token = list.addObject();
                token.put("token", logprobs.get("tokens").get(i).asText());
                token.put("logprob", logprobs.path("token_logprobs").path(i).asDouble());
                token.putNull("bytes");
                ArrayNode top = token.putArray("top_logprobs");
                logprobs.path("top_logprobs")
                        .path(i)
                        .properties()
                        .forEach(each -> top.addObject()
                                .put("token", each.getKey())
                                .put("logprob", each.getValue().asDouble())
                                .putNull("bytes"));
            }
            return list;
        }

        @Override
        void wholeAnswer(JsonNode body) {
            read("", body);
            ends();
        }

        @Override
        void done() {
            ends();
        }
    }

    /** Items and typed events. */
    private static final class Responses extends ReplyDecoder {

        private boolean calls;
        private boolean refused;
        private final Map<String, Boolean> grown = new HashMap<>();

        @Override
        void read(String type, JsonNode event) {
            String item = event.path("output_index").asText();
            String content = item + "/" + event.path("content_index").asText("0");
            switch (type) {
                case "response.created" -> begin(event.path("response"), "created_at");
                case "response.output_item.added" -> added(item, event.path("item"));
                case "response.content_part.added" -> {
                    boolean refusal = event.path("part").path("type").asText().equals("refusal");
                    refused |= refusal;
                    open(0, content, refusal ? ContentPart.Kind.REFUSAL : ContentPart.Kind.TEXT, null, null);
                }
                case "response.output_text.delta" ->
                    grow(
                            content,
                            textOf(event, "delta"),
                            nonNull(event.path("logprobs").isEmpty() ? null : event.path("logprobs")));
                case "response.refusal.delta" -> grow(content, textOf(event, "delta"), null);
                case "response.content_part.done" -> close(content);
                case "response.function_call_arguments.delta" -> {
                    grown.put(item, true);
                    grow(item, textOf(event, "delta"), null);
                }
                case "response.function_call_arguments.done" -> {
                    if (!grown.containsKey(item)) {
                        grown.put(item, true);
                        grow(item, textOf(event, "arguments"), null);
                    }
                }
                case "response.reasoning_summary_text.delta", "response.reasoning_text.delta" ->
                    grow(item, textOf(event, "delta"), null);
                case "response.output_item.done" -> {
                    if (isOpen(item)) {
                        seal(item, event.path("item").path("encrypted_content").asText(null));
                        close(item);
                    }
                }
                case "response.completed", "response.incomplete" -> over(event.path("response"));
                case "response.failed" -> fail(ErrorTranslator.decode(0, event.path("response")));
                case "error" -> fail(ErrorTranslator.decode(0, event));
                default -> {}
            }
        }

        private void added(String key, JsonNode item) {
            switch (item.path("type").asText()) {
                case "function_call" -> {
                    calls = true;
                    open(
                            0,
                            key,
                            ContentPart.Kind.CALL,
                            item.path("call_id").asText(item.path("id").asText()),
                            item.path("name").asText());
                }
                case "reasoning" -> open(0, key, ContentPart.Kind.THOUGHT, null, null);
                default -> {}
            }
        }

        @Override
        void wholeAnswer(JsonNode body) {
            if (body.path("status").asText().equals("failed")) {
                fail(ErrorTranslator.decode(0, body));
                return;
            }
            begin(body, "created_at");
            int position = 0;
            for (JsonNode item : body.path("output")) {
                String key = "" + position++;
                added(key, item);
                int piece = 0;
                for (JsonNode part : item.path("content")) {
                    boolean refusal = part.path("type").asText().equals("refusal");
                    refused |= refusal;
                    String inner = key + "/" + piece++;
                    open(0, inner, refusal ? ContentPart.Kind.REFUSAL : ContentPart.Kind.TEXT, null, null);
                    grow(
                            inner,
                            textOf(part, refusal ? "refusal" : "text"),
                            nonNull(part.path("logprobs").isEmpty() ? null : part.path("logprobs")));
                    close(inner);
                }
                if (isOpen(key)) {
                    for (JsonNode summary : item.path("summary")) {
                        grow(key, textOf(summary, "text"), null);
                    }
                    grow(key, textOf(item, "arguments"), null);
                    seal(key, item.path("encrypted_content").asText(null));
                    close(key);
                }
            }
            over(body);
        }

        private void over(JsonNode response) {
            String why = response.path("incomplete_details").path("reason").asText("");
            boolean incomplete = response.path("status").asText().equals("incomplete");
            finish(
                    0,
                    why.equals("content_filter")
                            ? Reason.FILTER
                            : incomplete
                                    ? Reason.LENGTH
                                    : refused ? Reason.REFUSAL : calls ? Reason.CALLS : Reason.STOP,
                    null);
            JsonNode usage = response.path("usage");
            if (usage.isObject()) {
                usage(
                        number(usage, "input_tokens"),
                        number(usage.path("input_tokens_details"), "cached_tokens"),
                        number(usage, "output_tokens"),
                        number(usage.path("output_tokens_details"), "reasoning_tokens"));
            }
            ends();
        }
    }

    /** Content blocks. */
    private static final class Messages extends ReplyDecoder {

        private long prompt = -1;
        private long cached = -1;
        private long output = -1;

        @Override
        void read(String type, JsonNode event) {
            String key = event.path("index").asText("0");
            switch (type) {
                case "message_start" -> {
                    begin(event.path("message"), "created");
                    count(event.path("message").path("usage"));
                }
                case "content_block_start" -> start(key, event.path("content_block"));
                case "content_block_delta" -> {
                    JsonNode delta = event.path("delta");
                    switch (delta.path("type").asText()) {
                        case "text_delta" -> grow(key, textOf(delta, "text"), null);
                        case "input_json_delta" -> grow(key, textOf(delta, "partial_json"), null);
                        case "thinking_delta" -> grow(key, textOf(delta, "thinking"), null);
                        case "signature_delta" ->
                            seal(key, delta.path("signature").asText(null));
                        default -> {}
                    }
                }
                case "content_block_stop" -> close(key);
                case "message_delta" -> {
                    count(event.path("usage"));
                    stop(event.path("delta"));
                }
                case "message_stop" -> {
                    usage(prompt, cached, output, -1);
                    ends();
                }
                case "error" -> fail(ErrorTranslator.decode(0, event));
                default -> {}
            }
        }

        private void start(String key, JsonNode block) {
            switch (block.path("type").asText()) {
                case "tool_use" ->
                    open(
                            0,
                            key,
                            ContentPart.Kind.CALL,
                            block.path("id").asText(),
                            block.path("name").asText());
                case "thinking", "redacted_thinking" -> {
                    open(0, key, ContentPart.Kind.THOUGHT, null, null);
                    grow(key, textOf(block, "thinking"), null);
                    seal(key, block.path("data").asText(block.path("signature").asText(null)));
                }
                default -> {
                    open(0, key, ContentPart.Kind.TEXT, null, null);
                    grow(key, textOf(block, "text"), null);
                }
            }
        }

        private void count(JsonNode usage) {
            long read = number(usage, "cache_read_input_tokens");
            cached = read >= 0 ? read : cached;
            long input = number(usage, "input_tokens");
            // This format counts what was found kept apart; the others count it in.
            prompt = input >= 0
                    ? input + Math.max(0, read) + Math.max(0, number(usage, "cache_creation_input_tokens"))
                    : prompt;
            output = number(usage, "output_tokens") >= 0 ? number(usage, "output_tokens") : output;
        }

        private void stop(JsonNode delta) {
            if (delta.path("stop_reason").isTextual()) {
                finish(
                        0,
                        switch (delta.get("stop_reason").asText()) {
                            case "end_turn" -> Reason.STOP;
                            case "stop_sequence" -> Reason.SEQUENCE;
                            case "max_tokens", "model_context_window_exceeded" -> Reason.LENGTH;
                            case "tool_use" -> Reason.CALLS;
                            case "refusal" -> Reason.REFUSAL;
                            default -> Reason.UNKNOWN;
                        },
                        delta.path("stop_sequence").asText(null));
            }
        }

        @Override
        void wholeAnswer(JsonNode body) {
            begin(body, "created");
            count(body.path("usage"));
            int position = 0;
            for (JsonNode block : body.path("content")) {
                String key = "" + position++;
                start(key, block);
                if (block.path("type").asText().equals("tool_use")) {
                    grow(key, block.path("input").toString(), null);
                }
                close(key);
            }
            stop(body);
            usage(prompt, cached, output, -1);
            ends();
        }
    }
}

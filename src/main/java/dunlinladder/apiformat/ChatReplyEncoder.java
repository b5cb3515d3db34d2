package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Encodes replies in the chat completions format. */
final class ChatReplyEncoder extends ChoicesReplyEncoder {

    /** The index of each tool call among the tool calls of its choice, by choice and part. */
    private final Map<Integer, Map<Integer, Integer>> callIndexes = new HashMap<>();
    /** The kinds of the parts so far, by choice and part. */
    private final Map<Integer, Map<Integer, ContentPart.Kind>> kinds = new HashMap<>();
    /** The choices whose first chunk, which contains the role, has been sent. */
    private final Set<Integer> startedChoices = new HashSet<>();

    ChatReplyEncoder(Identity identity) {
        super(identity, "chatcmpl-", "chat.completion.chunk", "chat.completion");
    }

    @Override
    void encodeEvent(ReplyEvent event) {
        if (event instanceof ReplyEvent.PartStarted started) {
            kinds.computeIfAbsent(started.choice(), choice -> new HashMap<>()).put(started.part(), started.kind());
            if (started.kind() == ContentPart.Kind.CALL) {
                startCall(started);
            }
        } else if (event instanceof ReplyEvent.PartDelta delta) {
            sendDelta(delta);
        } else if (event instanceof ReplyEvent.ChoiceFinished finished) {
            sendChunk(finished.choice(), JSON.objectNode(), null, reason(finished.reason()));
        } else if (event instanceof ReplyEvent.Failed failed) {
            send(ErrorTranslator.encode(ApiFormat.CHAT, failed.error()));
        } else if (event instanceof ReplyEvent.Completed) {
            sendEnd();
        }
    }

    private void startCall(ReplyEvent.PartStarted started) {
        Map<Integer, Integer> indexes = callIndexes.computeIfAbsent(started.choice(), choice -> new HashMap<>());
        int index = indexes.size();
        indexes.put(started.part(), index);
        ObjectNode delta = JSON.objectNode();
        if (identity().legacyTools()) {
            delta.putObject("function_call").put("name", started.name()).put("arguments", "");
        } else {
            delta.putArray("tool_calls")
                    .addObject()
                    .put("index", index)
                    .put("id", started.callId())
                    .put("type", "function")
                    .putObject("function")
                    .put("name", started.name())
                    .put("arguments", "");
        }
        sendChunk(started.choice(), delta, null, null);
    }

    private void sendDelta(ReplyEvent.PartDelta event) {
        ObjectNode delta = JSON.objectNode();
        switch (kinds.get(event.choice()).get(event.part())) {
            case CALL -> putArguments(event, delta);
            case REFUSAL -> delta.put("refusal", event.text());
            case THOUGHT -> delta.put("reasoning_content", event.text());
            default -> delta.put("content", event.text());
        }
        sendChunk(event.choice(), delta, event.logprobs(), null);
    }

    private void putArguments(ReplyEvent.PartDelta event, ObjectNode delta) {
        if (identity().legacyTools()) {
            delta.putObject("function_call").put("arguments", event.text());
            return;
        }
        delta.putArray("tool_calls")
                .addObject()
                .put("index", callIndexes.get(event.choice()).get(event.part()))
                .putObject("function")
                .put("arguments", event.text());
    }

    /** Sends a choice's next delta; {@code logprobs} and {@code reason} are null in most chunks. */
    private void sendChunk(int choice, ObjectNode delta, JsonNode logprobs, String reason) {
        ObjectNode chunk = chunk();
        ObjectNode node = chunk.putArray("choices").addObject().put("index", choice);
        if (startedChoices.add(choice)) {
            ObjectNode first = JSON.objectNode().put("role", "assistant");
            first.setAll(delta);
            node.set("delta", first);
        } else {
            node.set("delta", delta);
        }
        if (logprobs != null) {
            node.putObject("logprobs").set("content", logprobs);
        }
        node.put("finish_reason", reason);
        send(chunk);
    }

    private String reason(Reason reason) {
        return switch (reason) {
            case LENGTH -> "length";
            case CALLS -> identity().legacyTools() ? "function_call" : "tool_calls";
            case FILTER -> "content_filter";
            default -> "stop";
        };
    }

    @Override
    void encodeChoice(ChoiceBuffer choice, ObjectNode node) {
        CompleteMessage message = new CompleteMessage();
        choice.parts().forEach(message::add);
        encodeMessage(message, node.putObject("message").put("role", "assistant"));
        if (!message.logprobs.isEmpty()) {
            node.putObject("logprobs").set("content", message.logprobs);
        }
        node.put("finish_reason", reason(choice.finish().reason()));
    }

    private void encodeMessage(CompleteMessage message, ObjectNode node) {
        boolean hasCallOrRefusal = !message.calls.isEmpty() || !message.refusal.isEmpty();
        node.put("content", message.text.isEmpty() && hasCallOrRefusal ? null : message.text.toString());
        node.put("refusal", message.refusal.isEmpty() ? null : message.refusal.toString());
        if (!message.reasoning.isEmpty()) {
            node.put("reasoning_content", message.reasoning.toString());
        }
        if (!message.calls.isEmpty() && identity().legacyTools()) {
            node.set("function_call", message.calls.get(0).get("function"));
        } else if (!message.calls.isEmpty()) {
            node.set("tool_calls", message.calls);
        }
    }

    /** The message of a complete choice. The parts of one kind are combined in one field. */
    private static final class CompleteMessage {

        private final StringBuilder text = new StringBuilder();
        private final StringBuilder reasoning = new StringBuilder();
        private final StringBuilder refusal = new StringBuilder();
        private final ArrayNode calls = JSON.arrayNode();
        private final ArrayNode logprobs = JSON.arrayNode();

        void add(PartBuffer part) {
            switch (part.kind()) {
                case CALL -> addCall(part);
                case THOUGHT -> reasoning.append(part.text());
                case REFUSAL -> refusal.append(part.text());
                default -> {
                    text.append(part.text());
                    logprobs.addAll(part.logprobs());
                }
            }
        }

        private void addCall(PartBuffer part) {
            calls.addObject()
                    .put("id", part.start().callId())
                    .put("type", "function")
                    .putObject("function")
                    .put("name", part.start().name())
                    .put("arguments", part.text());
        }
    }
}

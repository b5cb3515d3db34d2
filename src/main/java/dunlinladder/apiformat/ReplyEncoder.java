package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes one reply from the neutral model in a client's format, as a stream of events or as one body. The client sees
 * the id, the model and the time that the gateway gives the reply, whichever engine the reply comes from. They stay the
 * same throughout the reply.
 *
 * <p>Not thread-safe. An encoder encodes one reply, either by {@link #encode} or by {@link #encodeComplete}.
 */
public abstract class ReplyEncoder {

    /**
     * The properties of a reply that the client sees besides its content.
     *
     * @param id the reply's id, without the prefix that a format puts before it
     * @param model the model's name, as the client gave it
     * @param created the creation time in Unix seconds
     * @param includeUsage whether a stream ends with its token usage; only for formats that let the client decide this
     * @param legacyTools whether tool calls are written as the older {@code function_call}
     * @param echo the prompt that is put before the reply, empty for none
     */
    public record Identity(
            String id, String model, long created, boolean includeUsage, boolean legacyTools, String echo) {}

    static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private static final ReplyEvent.Usage NO_USAGE = new ReplyEvent.Usage(
            ReplyEvent.Usage.UNKNOWN_TOKENS,
            ReplyEvent.Usage.UNKNOWN_TOKENS,
            ReplyEvent.Usage.UNKNOWN_TOKENS,
            ReplyEvent.Usage.UNKNOWN_TOKENS);

    private final Identity identity;
    private final StringBuilder output = new StringBuilder();
    private ReplyEvent.Usage usage = NO_USAGE;

    ReplyEncoder(Identity identity) {
        this.identity = identity;
    }

    /** Creates the encoder of one reply in the given format. */
    public static ReplyEncoder of(ApiFormat format, Identity identity) {
        return switch (format) {
            case COMPLETIONS -> new CompletionsReplyEncoder(identity);
            case CHAT -> new ChatReplyEncoder(identity);
            case RESPONSES -> new ResponsesReplyEncoder(identity);
            case MESSAGES -> new MessagesReplyEncoder(identity);
        };
    }

    /** Encodes an event. Returns the text of the resulting server-sent events, which is often empty. */
    public final String encode(ReplyEvent event) {
        if (event instanceof ReplyEvent.Usage reported) {
            usage = reported;
        }
        encodeEvent(event);
        String text = output.toString();
        output.setLength(0);
        return text;
    }

    /** Encodes a complete reply as one body from all its events, the last of which is {@link ReplyEvent.Completed}. */
    public final ObjectNode encodeComplete(List<ReplyEvent> events) {
        Map<Integer, ChoiceBuffer> choices = new LinkedHashMap<>();
        for (ReplyEvent event : events) {
            if (event instanceof ReplyEvent.PartStarted started) {
                choice(choices, started.choice()).add(new PartBuffer(started));
            } else if (event instanceof ReplyEvent.PartDelta delta) {
                choices.get(delta.choice()).part(delta.part()).append(delta);
            } else if (event instanceof ReplyEvent.PartSignature signature) {
                choices.get(signature.choice()).part(signature.part()).setSignature(signature.signature());
            } else if (event instanceof ReplyEvent.ChoiceFinished finished) {
                choice(choices, finished.choice()).finish(finished);
            } else if (event instanceof ReplyEvent.Usage reported) {
                usage = reported;
            }
        }
        return encodeBody(choices);
    }

    private static ChoiceBuffer choice(Map<Integer, ChoiceBuffer> choices, int index) {
        return choices.computeIfAbsent(index, newIndex -> new ChoiceBuffer());
    }

    /** Encodes an event and sends the resulting server-sent events of the format, if any. */
    abstract void encodeEvent(ReplyEvent event);

    /** Returns the body of a complete reply. {@code choices} holds the choices by index. */
    abstract ObjectNode encodeBody(Map<Integer, ChoiceBuffer> choices);

    final Identity identity() {
        return identity;
    }

    /** Returns the usage that the engine reported. All counts are unknown until the engine reports it. */
    final ReplyEvent.Usage usage() {
        return usage;
    }

    /** Returns a token count, or 0 if it is unknown: the formats have no value for an unknown count. */
    static long orZero(long tokens) {
        return Math.max(0, tokens);
    }

    /** Sends an event without a name. */
    final void send(JsonNode data) {
        output.append("data: ").append(data).append("\n\n");
    }

    /** Sends an event with a name. */
    final void send(String name, JsonNode data) {
        output.append("event: ").append(name).append('\n');
        send(data);
    }

    /** Sends the marker that ends a stream in some formats. */
    final void sendDone() {
        output.append("data: [DONE]\n\n");
    }
}

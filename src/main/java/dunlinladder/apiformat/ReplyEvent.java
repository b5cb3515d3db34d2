package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What happens in a reply, independent of any API format. A reply is one {@link Started}; content parts that start,
 * grow and finish; a {@link ChoiceFinished} for each choice; at most one {@link Usage}; and {@link Completed}. Or it is
 * {@link Failed} at any point, after which nothing follows.
 *
 * <p>Each token of a reply is an event, so that components that may be missing are null or -1 rather than optional.
 */
public sealed interface ReplyEvent {

    /**
     * The reply starts.
     *
     * @param id the engine's id for it, empty where there is none
     * @param model as the engine names it, empty where it does not
     * @param created in Unix seconds, 0 where it is missing
     */
    record Started(String id, String model, long created) implements ReplyEvent {}

    /**
     * A content part starts.
     *
     * @param choice the choice's index, from 0
     * @param part the part's index within the choice, from 0
     * @param kind of the part
     * @param callId of a tool's call, else null
     * @param name of the tool that is called, else null
     */
    record PartStarted(int choice, int part, ContentPart.Kind kind, String callId, String name) implements ReplyEvent {}

    /**
     * A content part grows by text: words, the arguments of a call, or reasoning.
     *
     * @param choice the choice's index
     * @param part the part's index
     * @param text that is added
     * @param logprobs a list with the log probabilities of the text's tokens, or null
     */
    record PartDelta(int choice, int part, String text, JsonNode logprobs) implements ReplyEvent {}

    /** The signature or encrypted form of a part that is reasoning. */
    record PartSignature(int choice, int part, String signature) implements ReplyEvent {}

    /** A content part is complete. */
    record PartFinished(int choice, int part) implements ReplyEvent {}

    /**
     * A choice is complete.
     *
     * @param choice the choice's index
     * @param reason why it ended
     * @param sequence the stop sequence that ended it, or null
     */
    record ChoiceFinished(int choice, Reason reason, String sequence) implements ReplyEvent {}

    /**
     * How many tokens the reply used; {@link #UNKNOWN_TOKENS} for what the engine's format does not report.
     *
     * @param prompt tokens of the prompt, cached ones among them
     * @param cached tokens of the prompt that were found in a cache
     * @param output tokens of the reply, reasoning among them
     * @param reasoning tokens of reasoning
     */
    record Usage(long prompt, long cached, long output, long reasoning) implements ReplyEvent {

        /** Stands for a number that the engine does not report. */
        public static final long UNKNOWN_TOKENS = -1;
    }

    /** The reply failed. */
    record Failed(ApiError error) implements ReplyEvent {}

    /** The reply is complete. */
    record Completed() implements ReplyEvent {}

    /** Why a choice ended. */
    enum Reason {
        /** The model was done. */
        STOP,
        /** A stop sequence of the request. */
        SEQUENCE,
        /** A bound on the number of tokens. */
        LENGTH,
        /** The model calls tools. */
        CALLS,
        /** The engine's content filter. */
        FILTER,
        /** The model refused. */
        REFUSAL,
        /** A reason that this gateway does not know. */
        UNKNOWN
    }
}

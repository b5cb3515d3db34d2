package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An event of a reply, independent of any API format. A reply consists of one {@link Started}; content parts that
 * start, grow and finish; one {@link ChoiceFinished} for each choice; at most one {@link Usage}; and {@link Completed}.
 * At any point the reply may fail instead: {@link Failed} is then its last event.
 *
 * <p>Each token of a reply is an event. Components that may be missing are therefore null or -1 rather than optional.
 */
public sealed interface ReplyEvent {

    /**
     * The reply starts.
     *
     * @param id the engine's id for the reply, empty if it gives none
     * @param model the engine's name for the model, empty if it gives none
     * @param created the creation time in Unix seconds, 0 if it is missing
     */
    record Started(String id, String model, long created) implements ReplyEvent {}

    /**
     * A content part starts.
     *
     * @param choice the choice's index, from 0
     * @param part the part's index within the choice, from 0
     * @param kind the part's kind
     * @param callId the tool call's id, null for a part that is not a tool call
     * @param name the name of the called tool, null for a part that is not a tool call
     */
    record PartStarted(int choice, int part, ContentPart.Kind kind, String callId, String name) implements ReplyEvent {}

    /**
     * A content part grows. The added text belongs to an answer, a refusal, the arguments of a tool call, or reasoning.
     *
     * @param choice the choice's index
     * @param part the part's index
     * @param text the added text
     * @param logprobs a list with the log probabilities of the text's tokens, or null
     */
    record PartDelta(int choice, int part, String text, JsonNode logprobs) implements ReplyEvent {}

    /** A reasoning part gets its signature or its encrypted form. */
    record PartSignature(int choice, int part, String signature) implements ReplyEvent {}

    /** A content part is complete. */
    record PartFinished(int choice, int part) implements ReplyEvent {}

    /**
     * A choice is complete.
     *
     * @param choice the choice's index
     * @param reason why the choice ended
     * @param sequence the stop sequence that ended the choice, or null
     */
    record ChoiceFinished(int choice, Reason reason, String sequence) implements ReplyEvent {}

    /**
     * The token counts of the reply. A count that the engine's format does not report is {@link #UNKNOWN_TOKENS}.
     *
     * @param prompt tokens of the prompt, including the cached ones
     * @param cached tokens of the prompt that were found in a cache
     * @param output tokens of the reply, including those of reasoning
     * @param reasoning tokens of reasoning
     */
    record Usage(long prompt, long cached, long output, long reasoning) implements ReplyEvent {

        /** Stands for a token count that the engine does not report. */
        public static final long UNKNOWN_TOKENS = -1;
    }

    /** The reply failed. */
    record Failed(ApiError error) implements ReplyEvent {}

    /** The reply is complete. */
    record Completed() implements ReplyEvent {}

    /** Why a choice ended. */
    enum Reason {
        /** The model finished its reply. */
        STOP,
        /** The model produced a stop sequence of the request. */
        SEQUENCE,
        /** A limit on the number of tokens was reached. */
        LENGTH,
        /** The model calls tools. */
        CALLS,
        /** The engine's content filter stopped the reply. */
        FILTER,
        /** The model refused to answer. */
        REFUSAL,
        /** The engine gave a reason that the gateway does not recognize. */
        UNKNOWN
    }
}

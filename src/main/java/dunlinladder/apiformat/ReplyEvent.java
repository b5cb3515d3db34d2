package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What happens in an answer, in no format. An answer is one {@link Begin}, parts that open, grow and close, a
 * {@link Finish} for each choice, at most one {@link Usage}, and {@link End}; or {@link Failed} at any point, after
 * which nothing follows.
 */
public sealed interface ReplyEvent {

    /** The answer begins; {@code created} is in Unix seconds, 0 where it is not told. */
    record Begin(String id, String model, long created) implements ReplyEvent {}

    /** A part begins; {@code callId} and {@code name} are those of a tool's call, else null. */
    record Open(int choice, int part, ContentPart.Kind kind, String callId, String name) implements ReplyEvent {}

    /** A part grows by text: a call's arguments, a thought's words. {@code logprobs} may be null. */
    record Grow(int choice, int part, String text, JsonNode logprobs) implements ReplyEvent {}

    /** What a thought is sealed with. */
    record Seal(int choice, int part, String seal) implements ReplyEvent {}

    /** A part is whole. */
    record Close(int choice, int part) implements ReplyEvent {}

    /** A choice is whole; {@code sequence} is the stop sequence that ended it, where that is told. */
    record Finish(int choice, Reason reason, String sequence) implements ReplyEvent {}

    /** Tokens; -1 for what the engine's format does not tell. */
    record Usage(long prompt, long cached, long output, long reasoning) implements ReplyEvent {}

    /** The engine says that the answer failed. */
    record Failed(ApiError fault) implements ReplyEvent {}

    /** The engine says that the answer is whole. */
    record End() implements ReplyEvent {}

    /** Why a choice ended. */
    enum Reason {
        STOP,
        SEQUENCE,
        LENGTH,
        CALLS,
        FILTER,
        REFUSAL,
        UNKNOWN
    }
}

package dunlinladder.core;

import java.util.function.Predicate;

/**
 * A client's request.
 *
 * @param id chosen by the client or the front end; unique among the requests in flight
 * @param serviceClass index of its service class in the settings
 * @param tenant index of its tenant in the settings, 0 when there are no tenants
 * @param prompt estimates about its prompt
 * @param deadline clock time, in seconds, at which the client stops waiting for a first token
 * @param resubmission whether, and why, the client sends it again
 * @param payload content for the engine
 * @param eligible whether the engine with a given id may get the request at all
 */
public record Request(
        String id,
        int serviceClass,
        int tenant,
        Prompt prompt,
        double deadline,
        Resubmission resubmission,
        Payload payload,
        Predicate<String> eligible) {

    /** Eligibility of a request that any engine may get. */
    public static final Predicate<String> ANY_ENGINE = engine -> true;

    /**
     * The properties of a prompt that are known before an engine reads it.
     *
     * @param session number of the conversation; equal conversations have equal numbers
     * @param prefix number of the prefix that is shared with other prompts, 0 for none
     * @param tokens estimated length in tokens
     * @param prefixTokens estimated length of the shared prefix in tokens, 0 for none
     * @param maxOutputTokens maximum length of the answer in tokens, 0 when the client sets none
     */
    public record Prompt(long session, long prefix, double tokens, double prefixTokens, double maxOutputTokens) {}

    /** Whether and why the client sends a request again. */
    public enum Resubmission {
        /** The request was not sent before. */
        NONE,
        /** The request is a retry. */
        RETRIED,
        /** The request asks for the rest of a stream that was interrupted. */
        RETURNED
    }

    /** See {@link Prompt}. */
    public long session() {
        return prompt.session();
    }

    /** See {@link Prompt}. */
    public long prefix() {
        return prompt.prefix();
    }

    /** See {@link Prompt#tokens}. */
    public double promptTokens() {
        return prompt.tokens();
    }

    /** See {@link Prompt}. */
    public double prefixTokens() {
        return prompt.prefixTokens();
    }

    /** See {@link Prompt}. */
    public double maxOutputTokens() {
        return prompt.maxOutputTokens();
    }

    /** Whether the client sent the request before. */
    public boolean isResubmission() {
        return resubmission != Resubmission.NONE;
    }

    /** Whether the client asks for the rest of a stream that was interrupted. */
    public boolean resumesStream() {
        return resubmission == Resubmission.RETURNED;
    }
}

package dunlinladder.core;

import java.util.function.Predicate;

/**
 * One client's request as the core knows it.
 *
 * @param id chosen by the client or the front; unique among the requests in flight
 * @param serviceClass index in the settings of its service class
 * @param tenant index in the settings of its tenant, 0 where there are none
 * @param prompt what is known of its prompt
 * @param deadline clock time, in seconds, at which the client stops waiting for a first token
 * @param resubmission whether the client sends it once more
 * @param payload what goes to the engine
 * @param eligible whether an engine, by its id, may have the request at all
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

    /** For a request that any engine may have. */
    public static final Predicate<String> ANY_ENGINE = engine -> true;

    /**
     * What is known of a prompt before it is read.
     *
     * @param session number of the conversation; equal conversations have equal numbers
     * @param prefix number of the prefix that other prompts share, 0 for none
     * @param tokens estimated length in tokens
     * @param prefixTokens estimated length of the shared prefix in tokens, 0 for none
     * @param maxOutputTokens longest answer that is wanted in tokens, 0 where the client sets none
     */
    public record Prompt(long session, long prefix, double tokens, double prefixTokens, double maxOutputTokens) {}

    /** Whether the client sends a request once more. */
    public enum Resubmission {
        /** It was not sent before. */
        NONE,
        /** A retry. */
        RETRIED,
        /** It asks for the rest of a stream that broke. */
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

    /** Whether the client sends the request once more. */
    public boolean retry() {
        return resubmission != Resubmission.NONE;
    }

    /** Whether the client asks for the rest of a stream that broke. */
    public boolean returned() {
        return resubmission == Resubmission.RETURNED;
    }
}

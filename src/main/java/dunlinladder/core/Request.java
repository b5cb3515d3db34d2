package dunlinladder.core;

import java.util.function.Predicate;

/**
 * One client's request as the core knows it.
 *
 * @param deadline the clock time, in seconds, at which the client stops waiting for a first token
 * @param session the conversation; equal conversations have equal numbers
 * @param prefix the shared opening, 0 for none
 * @param fits whether an engine, by its id, may have the request at all
 */
public record Request(
        String id,
        int serviceClass,
        int tenant,
        long session,
        long prefix,
        double promptTokens,
        double prefixTokens,
        double maxOut,
        double deadline,
        boolean retry,
        boolean returned,
        Payload payload,
        Predicate<String> fits) {

    /** A request that any engine may have. */
    public Request(
            String id,
            int serviceClass,
            int tenant,
            long session,
            long prefix,
            double promptTokens,
            double prefixTokens,
            double maxOut,
            double deadline,
            boolean retry,
            boolean returned,
            Payload payload) {
        this(
                id,
                serviceClass,
                tenant,
                session,
                prefix,
                promptTokens,
                prefixTokens,
                maxOut,
                deadline,
                retry,
                returned,
                payload,
                engine -> true);
    }
}

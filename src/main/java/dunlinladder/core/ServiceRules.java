package dunlinladder.core;

/** What the deployment says of service classes and machine kinds, as far as it bounds retries. */
public interface ServiceRules {

    /** Whether a request of a service class, by its index in the settings, must not run twice. */
    boolean isNonIdempotent(int serviceClass);

    /** Whether machines of a kind, by its index in the settings, only prefill, which has no effect. */
    boolean isPrefillOnly(int kind);

    /**
     * Whether a request must not run again.
     *
     * @param history its attempts so far
     * @return true where a second run would do harm and a first one cannot be ruled out
     */
    default boolean forbidsRerun(Request request, AttemptHistory history) {
        return isNonIdempotent(request.serviceClass()) && history.mayHaveRun();
    }
}

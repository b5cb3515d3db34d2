package dunlinladder.core;

/** The properties of service classes and machine kinds that limit retries, as the deployment configures them. */
public interface ServiceRules {

    /** Returns the rule for repeats of the requests of a service class, by its index in the settings. */
    RerunRule rerunRule(int serviceClass);

    /** Whether machines of a kind, by its index in the settings, only prefill; a prefill has no effect. */
    boolean isPrefillOnly(int kind);
}

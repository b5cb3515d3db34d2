package dunlinladder.migration;

/** The two stages of serving a request; a mixed engine serves both. */
public enum EngineStage {
    /** Processes the prompt and keeps its KV cache until that is fetched. */
    PREFILL,
    /** Fetches the KV cache and streams the answer. */
    DECODE
}

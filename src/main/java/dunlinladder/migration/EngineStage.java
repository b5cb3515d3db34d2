package dunlinladder.migration;

/** The two stages in which a request is served; a mixed engine does both. */
public enum EngineStage {
    /** Runs the prompt and keeps its KV cache until that is fetched. */
    PREFILL,
    /** Fetches the KV cache and streams the answer. */
    DECODE
}

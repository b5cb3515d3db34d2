package dunlinladder.routing;

/** One send of a request that is out. Plain state. */
final class Attempt {
    /** What the server is to do with the request. */
    enum Stage {
        PREFILL,
        DECODE,
        PREFILL_AND_DECODE
    }

    final RequestState job;
    final int number;
    final EngineState worker;
    final Stage stage;
    final double sentAt;
    /** Prompt tokens that this router expects the server to read. */
    double tokens;
    /** Tokens of this router's other reads there when it was sent. */
    double ahead;
    /** Whether this router had sent the server the same beginning, or the session, not long before. */
    boolean prefixSent;

    boolean sessionSent;
    /** How much longer than a plain request it should take. */
    double size = 1;

    double weight;
    double held;
    double firstAt = Double.NaN;

    Attempt(RequestState job, int number, EngineState worker, Stage stage, double sentAt) {
        this.job = job;
        this.number = number;
        this.worker = worker;
        this.stage = stage;
        this.sentAt = sentAt;
    }

    /** Takes its read off the server's count, once. */
    void endRead() {
        if (stage != Stage.DECODE && tokens >= 0) {
            worker.reads--;
            worker.readTokens -= tokens;
            tokens = -1;
        }
    }

    /** Takes its stream off the server's count. */
    void endStream() {
        if (stage != Stage.PREFILL) {
            worker.streams--;
            worker.streamWeight = worker.streams == 0 ? 0 : worker.streamWeight - weight;
            worker.heldTokens = worker.streams == 0 ? 0 : worker.heldTokens - held;
        }
    }
}

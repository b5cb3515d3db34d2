package dunlinladder.routing;

/** One attempt of a request that is in flight: what was expected of it when it was sent. Decides nothing. */
final class AttemptState {
    /** What the engine is to do with the request. */
    enum Stage {
        PREFILL,
        DECODE,
        PREFILL_AND_DECODE;

        boolean prefills() {
            return this != DECODE;
        }

        boolean decodes() {
            return this != PREFILL;
        }
    }

    final RequestState request;
    final int number;
    final EngineState engine;
    final Stage stage;
    /** Clock time of the send, in seconds. */
    final double sentAt;
    /** Prompt tokens that the engine is expected to read, those of its prefix cache left out; -1 once they are read. */
    double prefillTokens;
    /** Tokens of this gateway's other prefills at the engine when it was sent. */
    double tokensAhead;
    /** Whether this gateway had sent the engine the same prefix not long before. */
    boolean prefixSent;
    /** Whether the engine had the session's last turn. */
    boolean sessionSent;
    /** How many times longer than an average prefill it should take. */
    double relativeSize = 1;
    /** Streams as which its stream counts. */
    double streamWeight;
    /** Tokens of KV cache that its stream may hold. */
    double kvTokens;
    /** Whether the KV cache was released while it was in flight, as it may not have arrived. */
    boolean releasedBehind;
    /** Clock time of the first token, in seconds; NaN before it. */
    double firstTokenAt = Double.NaN;

    AttemptState(RequestState request, int number, EngineState engine, Stage stage, double sentAt) {
        this.request = request;
        this.number = number;
        this.engine = engine;
        this.stage = stage;
        this.sentAt = sentAt;
    }

    boolean hasFirstToken() {
        return !Double.isNaN(firstTokenAt);
    }

    /** Seconds since the send over what its size explains. */
    double relativeAge(double now) {
        return (now - sentAt) / relativeSize;
    }

    /** Takes its prefill off the engine's count, once. */
    void endPrefill() {
        if (stage.prefills() && prefillTokens >= 0) {
            engine.prefills--;
            engine.prefillTokens -= prefillTokens;
            prefillTokens = -1;
        }
    }

    /** Takes its stream off the engine's count. */
    void endStream() {
        if (stage.decodes()) {
            engine.streams--;
            engine.streamWeight = engine.streams == 0 ? 0 : engine.streamWeight - streamWeight;
            engine.kvTokens = engine.streams == 0 ? 0 : engine.kvTokens - kvTokens;
        }
    }
}

package dunlinladder.routing;

/** State of one attempt in flight, with the estimates made when it was sent. Decides nothing. */
final class AttemptState {
    /** The work that the engine does for the request. */
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
    /** Clock time in seconds at which it was sent. */
    final double sentAt;
    /** Prompt tokens that the engine is expected to prefill, without cached ones; -1 once the prefill has ended. */
    double prefillTokens;
    /** Tokens of this gateway's other prefills at the engine when the attempt was sent. */
    double tokensAhead;
    /** Whether this gateway had recently sent the same prefix to the engine. */
    boolean prefixSent;
    /** Whether the session's last turn was sent to the engine. */
    boolean sessionSent;
    /** Expected duration as a multiple of that of an average prefill. */
    double relativeSize = 1;
    /** Number of average streams that its stream counts as. */
    double streamWeight;
    /** Tokens of KV cache that its stream may hold. */
    double kvTokens;
    /** Whether the KV cache was released while the attempt was in flight, as the attempt may not have arrived. */
    boolean releasedWhileInFlight;
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

    /** Returns the seconds since the attempt was sent, divided by its relative size. */
    double relativeAge(double now) {
        return (now - sentAt) / relativeSize;
    }

    /** Removes its prefill from the engine's counts; a second call has no effect. */
    void endPrefill() {
        if (stage.prefills() && prefillTokens >= 0) {
            engine.prefills--;
            engine.prefillTokens -= prefillTokens;
            prefillTokens = -1;
        }
    }

    /** Removes its stream from the engine's counts. */
    void endStream() {
        if (stage.decodes()) {
            engine.streams--;
            engine.streamWeight = engine.streams == 0 ? 0 : engine.streamWeight - streamWeight;
            engine.kvTokens = engine.streams == 0 ? 0 : engine.kvTokens - kvTokens;
        }
    }
}

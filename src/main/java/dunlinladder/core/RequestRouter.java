package dunlinladder.core;

import java.util.List;

/** Port to the routing policy, with blocking calls. Safe for use by several threads. */
public interface RequestRouter {

    /**
     * Waits for the next decision about a request; the first call registers the request.
     *
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    RoutingDecision nextDecision(Request request) throws InterruptedException;

    /** Reports that the stream of an attempt began. */
    void firstToken(Attempt attempt);

    /**
     * Reports that a KV cache cannot be held any longer: either for this attempt, which was written but may not have
     * arrived, or because this attempt is a prefill, and an earlier prefill whose answer was lost may have left one.
     */
    void confirmationOverdue(Attempt attempt);

    /**
     * Reports how an attempt ended.
     *
     * @param reach the last stage that the attempt is known to have reached
     * @param last whether the request ends with this attempt: its outcome gives the final answer, or the client has
     *     left
     */
    void attemptEnded(Attempt attempt, Outcome outcome, AttemptReach reach, boolean last);

    /** Reports that the client of a request disconnected. */
    void clientDisconnected(String id);

    /** Reports an update of the engine list. */
    void endpointsUpdated(Scope scope, List<Engine> engines);

    /** Which engines an update of the engine list covers. */
    enum Scope {
        /** All engines, from the last list that discovery stored; it may be stale. */
        CACHED,
        /** All engines. */
        COMPLETE,
        /** Only the engines that have changed. */
        CHANGES
    }
}

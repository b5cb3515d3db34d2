package dunlinladder.core;

import java.util.List;

/** Port to the routing policy, in blocking style. Safe for use by several threads. */
public interface RequestRouter {

    /**
     * Waits for what is to be done next for a request; the first call makes the request known.
     *
     * @throws InterruptedException when the calling thread is interrupted while it waits
     */
    RoutingDecision nextDecision(Request request) throws InterruptedException;

    /** Reports that the stream of an attempt began. */
    void firstToken(Attempt attempt);

    /**
     * Reports that an attempt was written, and may not have arrived, while a KV cache cannot wait for it any longer.
     */
    void confirmationOverdue(Attempt attempt);

    /**
     * Reports how an attempt ended.
     *
     * @param reach how far it is known to have come
     * @param last whether nothing is owed to the client any more
     */
    void attemptEnded(Attempt attempt, Outcome outcome, AttemptReach reach, boolean last);

    /** Reports that the client of a request disconnected. */
    void clientDisconnected(String id);

    /** Reports an update of the engine list. */
    void endpointsUpdated(Scope scope, List<Engine> engines);

    /** The extent of an update of the engine list. */
    enum Scope {
        /** All engines, as discovery last held them; maybe stale. */
        CACHED,
        /** All engines. */
        COMPLETE,
        /** Those engines that have changed. */
        CHANGES
    }
}

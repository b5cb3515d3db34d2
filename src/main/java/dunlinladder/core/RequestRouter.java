package dunlinladder.core;

import java.util.List;

/** Port to the decisions, in blocking style. */
public interface RequestRouter {

    /** Waits for the request's next step; the first call makes the request known. */
    RoutingDecision nextDecision(Request request) throws InterruptedException;

    /** Reports that an attempt's stream began. */
    void firstToken(Attempt attempt);

    /** Reports how an attempt ended; {@code last} when nothing is owed to the client any more. */
    void attemptEnded(Attempt attempt, Outcome outcome, boolean last);

    /** Reports that the client left. */
    void clientDisconnected(String id);

    /** Reports news of the engine list. */
    void endpointsUpdated(Scope scope, List<Engine> engines);

    /** The extent of a list: as last held and maybe stale, all, or what has changed. */
    enum Scope {
        CACHED,
        COMPLETE,
        CHANGES
    }
}

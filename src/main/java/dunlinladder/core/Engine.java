package dunlinladder.core;

/**
 * One entry of the engine list: a process that prefills, decodes or does both.
 *
 * @param id name of the engine, unique in the fleet
 * @param address host and port at which this gateway reaches the engine
 * @param zone index of its failure domain in the settings
 * @param kind index of its machine kind in the settings; the kind determines the engine's role
 * @param cell number of its rack; the engines of a rack share a fast link
 * @param state state that discovery reports
 * @param weight its share of the load relative to an ordinary engine, which has weight 1
 * @param startedAt time of its last start in seconds, 0 for long ago: Unix time in the lists of discovery, clock time
 *     after {@link EngineStartTimes} has translated it
 */
public record Engine(
        String id, String address, int zone, int kind, int cell, State state, double weight, double startedAt) {

    /** State of an engine as discovery reports it; the names are those in discovery's messages. */
    public enum State {
        /** Listed; accepts requests. */
        ACTIVE,
        /** Draining: still listed; finishes its work and accepts no new requests. */
        LEAVING,
        /** No longer listed. */
        LEFT
    }

    /** Returns the failure domains of this engine. */
    RerunRule.Location location() {
        return new RerunRule.Location(zone, cell);
    }

    /** Returns a copy of this engine with another start time. */
    Engine withStartedAt(double seconds) {
        return new Engine(id, address, zone, kind, cell, state, weight, seconds);
    }

    /** Returns an engine of which only the id is known, because it is not listed any more. */
    static Engine unlisted(String id) {
        return new Engine(id, "", 0, 0, 0, State.LEFT, 0, 0);
    }
}

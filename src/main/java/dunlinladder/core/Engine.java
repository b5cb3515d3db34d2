package dunlinladder.core;

/**
 * One entry of the engine list: a process that prefills, decodes or does both.
 *
 * @param id its name, unique in the fleet
 * @param address host and port at which this gateway reaches it
 * @param zone index in the settings of its failure domain
 * @param kind index in the settings of its machine kind, which determines its role
 * @param cell number of its rack, whose engines share a fast link
 * @param state what discovery says of it
 * @param weight its share of the load against that of an ordinary engine, which has 1
 * @param startedAt time of its last start in seconds, 0 for long ago: Unix time as lists state it, clock time once
 *     {@link EngineStartTimes} has translated it
 */
public record Engine(
        String id, String address, int zone, int kind, int cell, State state, double weight, double startedAt) {

    /** What discovery says of an engine; the names are those of its messages. */
    public enum State {
        /** Listed, takes requests. */
        ACTIVE,
        /** Draining: listed, finishes its work and takes no new requests. */
        LEAVING,
        /** No longer listed. */
        LEFT
    }

    /** The same engine with another start time. */
    Engine withStartedAt(double seconds) {
        return new Engine(id, address, zone, kind, cell, state, weight, seconds);
    }

    /** An engine of which nothing but the id is known, as the list no longer has it. */
    static Engine unlisted(String id) {
        return new Engine(id, "", 0, 0, 0, State.LEFT, 0, 0);
    }
}

package dunlinladder.core;

/**
 * One entry of the engine list.
 *
 * @param address where this gateway reaches it
 * @param startedAt clock time of its last start in seconds, 0 for long ago
 */
public record Engine(
        String id, String address, int zone, int kind, int cell, State state, double weight, double startedAt) {

    /** What discovery says of it. */
    public enum State {
        ACTIVE,
        LEAVING,
        LEFT
    }
}

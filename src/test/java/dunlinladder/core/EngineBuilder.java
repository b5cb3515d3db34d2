package dunlinladder.core;

/** Builds engines for tests; a test sets only the values that matter to it. */
public final class EngineBuilder {

    private final String id;
    private String address = "127.0.0.1:1";
    private int zone;
    private int kind;
    private int cell;
    private Engine.State state = Engine.State.ACTIVE;
    private double startedAt;

    private EngineBuilder(String id) {
        this.id = id;
    }

    /** Creates a builder for an active engine of the first zone and kind that was started long ago. */
    public static EngineBuilder engine(String id) {
        return new EngineBuilder(id);
    }

    /** Sets the address: host and port. */
    public EngineBuilder address(String hostAndPort) {
        address = hostAndPort;
        return this;
    }

    /** Sets the index of the zone. */
    public EngineBuilder zone(int index) {
        zone = index;
        return this;
    }

    /** Sets the index of the machine kind. */
    public EngineBuilder kind(int index) {
        kind = index;
        return this;
    }

    /** Sets the number of the cell. */
    public EngineBuilder cell(int number) {
        cell = number;
        return this;
    }

    /** Sets the state that discovery reports. */
    public EngineBuilder state(Engine.State listedState) {
        state = listedState;
        return this;
    }

    /** Sets the clock time of its start, in seconds. */
    public EngineBuilder startedAt(double clockSeconds) {
        startedAt = clockSeconds;
        return this;
    }

    /** Builds the engine. */
    public Engine build() {
        return new Engine(id, address, zone, kind, cell, state, 1, startedAt);
    }
}

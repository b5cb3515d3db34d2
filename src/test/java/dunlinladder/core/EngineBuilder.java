package dunlinladder.core;

/** Engines for tests; a test sets by name only what it is about. */
public final class EngineBuilder {

    private final String id;
    private String address = "127.0.0.1:1";
    private int zone;
    private int kind;
    private Engine.State state = Engine.State.ACTIVE;
    private double startedAt;

    private EngineBuilder(String id) {
        this.id = id;
    }

    /** Starts from an active engine of the first zone and kind that was started long ago. */
    public static EngineBuilder engine(String id) {
        return new EngineBuilder(id);
    }

    /** Sets host and port. */
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

    /** Sets what discovery says of it. */
    public EngineBuilder state(Engine.State listed) {
        state = listed;
        return this;
    }

    /** Sets the clock time of its start, in seconds. */
    public EngineBuilder startedAt(double clockSeconds) {
        startedAt = clockSeconds;
        return this;
    }

    /** The engine. */
    public Engine build() {
        return new Engine(id, address, zone, kind, 0, state, 1, startedAt);
    }
}

package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import java.util.ArrayList;
import java.util.List;

/** A state machine in virtual time, the commands that it gave, and builders of updates. */
final class WatchDriver {

    /** The version of the list that is held at the start. */
    static final long FIRST_VERSION = 41;

    static final WatchTimeouts TIMEOUTS = new WatchTimeouts(
            new WatchTimeouts.Connect(0.3, 2, 3),
            new WatchTimeouts.Answer(1, 3),
            new WatchTimeouts.Silence(2.5, 0.5),
            new Backoff(0.2, 4),
            10,
            false);

    private static final double SHORTEST_STEP_SECONDS = 0.01;

    private final List<WatchCommand> commands = new ArrayList<>();
    private WatchStateMachine state;
    private double now;

    WatchDriver(long seed) {
        state = WatchStateMachine.initial(TIMEOUTS, FIRST_VERSION, seed);
    }

    WatchStateMachine state() {
        return state;
    }

    double now() {
        return now;
    }

    void on(WatchEvent event) {
        WatchOutcome outcome = state.on(event, now);
        state = outcome.state();
        commands.addAll(outcome.commands());
    }

    /** Lets time pass, with a tick whenever the state machine asks for one. */
    void pass(double seconds) {
        double end = now + seconds;
        while (state.nextDeadline() < end) {
            now = Math.max(now + SHORTEST_STEP_SECONDS, state.nextDeadline());
            on(new WatchEvent.Tick());
        }
        now = end;
        on(new WatchEvent.Tick());
    }

    /** The commands since they were last forgotten. */
    List<WatchCommand> commands() {
        return List.copyOf(commands);
    }

    List<WatchCommand> applied() {
        return commands.stream()
                .filter(command -> command instanceof WatchCommand.Apply)
                .toList();
    }

    void forgetCommands() {
        commands.clear();
    }

    /** Holds the commands since they were last forgotten against those expected, and forgets them. */
    void assertCommands(WatchCommand... expected) {
        assertEquals(List.of(expected), commands);
        commands.clear();
    }

    /** A delta; each engine is written as id=STATE. */
    static EndpointUpdate delta(long version, String... engines) {
        return update(version, RequestRouter.Scope.CHANGES, engines);
    }

    /** A snapshot; each engine is written as id=STATE. */
    static EndpointUpdate snapshot(long version, String... engines) {
        return update(version, RequestRouter.Scope.COMPLETE, engines);
    }

    private static EndpointUpdate update(long version, RequestRouter.Scope scope, String... engines) {
        return new EndpointUpdate(
                version,
                scope,
                List.of(engines).stream().map(WatchDriver::engine).toList());
    }

    private static Engine engine(String text) {
        String[] parts = text.split("=");
        return new Engine(parts[0], "", 0, 0, 0, Engine.State.valueOf(parts[1]), 1, 0);
    }
}

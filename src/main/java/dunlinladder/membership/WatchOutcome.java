package dunlinladder.membership;

import java.util.List;

/**
 * The result of an event.
 *
 * @param state the state after the event
 * @param commands the commands to execute, in this order
 */
public record WatchOutcome(WatchStateMachine state, List<WatchCommand> commands) {

    /** Copies the commands, so that the outcome is immutable. */
    public WatchOutcome {
        commands = List.copyOf(commands);
    }
}

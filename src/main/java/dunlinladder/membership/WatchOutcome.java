package dunlinladder.membership;

import java.util.List;

/**
 * What an event leads to.
 *
 * @param state the state after the event
 * @param commands what is to be done, in this order
 */
public record WatchOutcome(WatchStateMachine state, List<WatchCommand> commands) {

    /** Copies the commands, so that an outcome never changes. */
    public WatchOutcome {
        commands = List.copyOf(commands);
    }
}

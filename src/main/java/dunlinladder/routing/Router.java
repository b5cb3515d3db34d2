package dunlinladder.routing;

import java.util.List;

/**
 * The routing decisions of one gateway as a state machine: events in, actions out, nothing else. It does no input or
 * output, reads no clock and starts no thread, so that the gateway and the simulator run the same code.
 */
public interface Router {

    /**
     * Handles one event.
     *
     * @param now the clock in seconds at which the event is handled; never before that of an earlier event
     * @return the actions to carry out, in order
     */
    List<RoutingAction> handle(double now, RoutingEvent event);
}

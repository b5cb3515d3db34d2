package dunlinladder.routing;

import java.util.List;

/**
 * Makes the routing decisions of one gateway as a state machine that takes events and returns actions. It does no input
 * or output, reads no clock and starts no thread, so that the gateway and the simulator run the same code.
 */
public interface Router {

    /**
     * Handles one event.
     *
     * @param now clock time in seconds at which the event is handled; never before that of an earlier event
     * @return the actions to execute, in order
     */
    List<RoutingAction> handle(double now, RoutingEvent event);
}

package dunlinladder.transport.simulator;

import dunlinladder.routing.RoutingEvent;
import dunlinladder.transport.json.InvalidInputException;

/** The codes of the simulator protocol specification that say how an attempt ended. */
enum OutcomeCode {
    OK(100, RoutingEvent.Status.OK),
    PREFILLED(210, RoutingEvent.Status.PREFILLED),
    ERROR(301, RoutingEvent.Status.ERROR),
    FULL(302, RoutingEvent.Status.FULL),
    TIMEOUT(303, RoutingEvent.Status.TIMEOUT),
    CONNECT_FAILED(304, RoutingEvent.Status.CONNECT_FAILED),
    RESET(305, RoutingEvent.Status.RESET),
    CANCELLED(306, RoutingEvent.Status.CANCELLED),
    NOT_SENT(307, RoutingEvent.Status.NOT_SENT);

    private final int code;
    private final RoutingEvent.Status status;

    OutcomeCode(int code, RoutingEvent.Status status) {
        this.code = code;
        this.status = status;
    }

    /**
     * Returns the status that a code stands for.
     *
     * @throws InvalidInputException if the code is unknown
     */
    static RoutingEvent.Status status(int code) {
        for (OutcomeCode each : values()) {
            if (each.code == code) {
                return each.status;
            }
        }
        throw new InvalidInputException("unknown outcome " + code + " in Returned");
    }
}

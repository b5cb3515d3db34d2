package dunlinladder.lifecycle;

/** The lifecycle state of a gateway. States are only entered in the order in which they are listed. */
enum LifecycleState {
    /** No client can connect. */
    STARTING,
    /** Clients are served. */
    RUNNING,
    /**
     * Clients are still served, but the health check {@code /up} asks the load balancer in front of the gateways to
     * send them elsewhere.
     */
    DRAINING,
    /** No new connections are accepted; accepted requests are finished. */
    CLOSING,
    /** All client connections have been closed. */
    CLOSED;

    /** Whether the health check {@code /up} reports that the gateway takes no further clients. */
    boolean isDraining() {
        return compareTo(DRAINING) >= 0;
    }

    /** Whether connections are closed as soon as they have no request. */
    boolean isClosing() {
        return compareTo(CLOSING) >= 0;
    }
}

package dunlinladder.lifecycle;

/** Where a gateway stands in its life. It only ever moves on, in the order in which the states are listed. */
enum LifecycleState {
    /** No client can connect. */
    STARTING,
    /** Clients are served. */
    RUNNING,
    /** Clients are served still, but {@code /up} asks the front to send them elsewhere. */
    DRAINING,
    /** Nothing new is accepted; what was accepted is finished. */
    CLOSING,
    /** All connections of clients have been closed. */
    CLOSED;

    /** Whether {@code /up} is to say that the gateway takes no further clients. */
    boolean isDraining() {
        return compareTo(DRAINING) >= 0;
    }

    /** Whether connections close as soon as they have no request. */
    boolean isClosing() {
        return compareTo(CLOSING) >= 0;
    }
}

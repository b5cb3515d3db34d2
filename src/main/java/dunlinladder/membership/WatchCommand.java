package dunlinladder.membership;

/** What the driver of a {@link WatchStateMachine} has to do, in the order in which the commands stand. */
public sealed interface WatchCommand {

    /**
     * Opens a connection to discovery.
     *
     * @param connection number of the new connection, never used before
     * @param address host and port of discovery
     * @param since version after which updates are wanted; 0 asks for a snapshot
     */
    record Open(int connection, String address, long since) implements WatchCommand {}

    /**
     * Closes a connection; whatever it still brings is ignored.
     *
     * @param connection number of the connection
     */
    record Close(int connection) implements WatchCommand {}

    /**
     * Applies an update; the driver reports {@link WatchEvent.UpdateNotApplied} where that fails.
     *
     * @param update what is to be applied
     * @param previousVersion version of the list without the update
     */
    record Apply(EndpointUpdate update, long previousVersion) implements WatchCommand {}
}

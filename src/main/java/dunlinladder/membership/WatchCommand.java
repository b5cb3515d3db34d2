package dunlinladder.membership;

/** A command that the driver of a {@link WatchStateMachine} has to execute, in the order of the list of commands. */
public sealed interface WatchCommand {

    /**
     * Opens a connection to discovery.
     *
     * @param connection number of the new connection, which was never used before
     * @param address host and port of discovery
     * @param since version after which updates are requested; 0 requests a snapshot
     */
    record Open(int connection, String address, long since) implements WatchCommand {}

    /**
     * Closes a connection; all data that still arrives on it is ignored.
     *
     * @param connection number of the connection
     */
    record Close(int connection) implements WatchCommand {}

    /**
     * Applies an update; the driver reports {@link WatchEvent.UpdateNotApplied} when that fails.
     *
     * @param update the update to apply
     * @param previousVersion version of the list without the update
     */
    record Apply(EndpointUpdate update, long previousVersion) implements WatchCommand {}
}

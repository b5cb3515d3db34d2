package dunlinladder.membership;

/** An event in the watch of the engine list; the input of {@link WatchStateMachine#on}. */
public sealed interface WatchEvent {

    /**
     * Discovery has this address from now on; also the first event of a watch.
     *
     * @param address host and port of discovery
     */
    record AddressChanged(String address) implements WatchEvent {}

    /**
     * The TCP connection is established and the call was sent.
     *
     * @param connection number of the connection
     */
    record Connected(int connection) implements WatchEvent {}

    /**
     * The head of the answer was received, with status 200.
     *
     * @param connection number of the connection
     */
    record AnswerReceived(int connection) implements WatchEvent {}

    /**
     * An empty line was received, which shows that the connection works.
     *
     * @param connection number of the connection
     */
    record Heartbeat(int connection) implements WatchEvent {}

    /**
     * An update of the engine list was received.
     *
     * @param connection number of the connection
     * @param update the update
     */
    record UpdateReceived(int connection, EndpointUpdate update) implements WatchEvent {}

    /**
     * Data was received that cannot be read as an update.
     *
     * @param connection number of the connection
     */
    record UnreadableUpdate(int connection) implements WatchEvent {}

    /**
     * The update of a {@link WatchCommand.Apply} could not be applied.
     *
     * @param previousVersion version of the list without that update
     */
    record UpdateNotApplied(long previousVersion) implements WatchEvent {}

    /**
     * The connection was refused, was lost or ended.
     *
     * @param connection number of the connection
     */
    record Closed(int connection) implements WatchEvent {}

    /** Time has passed; {@link WatchStateMachine#nextDeadline} returns the time at which this has an effect. */
    record Tick() implements WatchEvent {}
}

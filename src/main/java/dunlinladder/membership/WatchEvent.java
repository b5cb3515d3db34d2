package dunlinladder.membership;

/** What can happen while the engine list is watched; the input of {@link WatchStateMachine#on}. */
public sealed interface WatchEvent {

    /**
     * Discovery is at this address from now on; also the first event of a watch.
     *
     * @param address host and port of discovery
     */
    record AddressChanged(String address) implements WatchEvent {}

    /**
     * The TCP connection is established and the call is sent.
     *
     * @param connection number of the connection
     */
    record Connected(int connection) implements WatchEvent {}

    /**
     * The head of the answer has come, with status 200.
     *
     * @param connection number of the connection
     */
    record AnswerReceived(int connection) implements WatchEvent {}

    /**
     * An empty line, which shows that the watch is alive.
     *
     * @param connection number of the connection
     */
    record Heartbeat(int connection) implements WatchEvent {}

    /**
     * An update of the engine list.
     *
     * @param connection number of the connection
     * @param update what it brought
     */
    record UpdateReceived(int connection, EndpointUpdate update) implements WatchEvent {}

    /**
     * Something came that can't be read as an update.
     *
     * @param connection number of the connection
     */
    record UnreadableUpdate(int connection) implements WatchEvent {}

    /**
     * An update of a {@link WatchCommand.Apply} could not be applied.
     *
     * @param previousVersion version of the list without that update
     */
    record UpdateNotApplied(long previousVersion) implements WatchEvent {}

    /**
     * The connection was refused, broke or ended.
     *
     * @param connection number of the connection
     */
    record Closed(int connection) implements WatchEvent {}

    /** Time has passed; {@link WatchStateMachine#nextDeadline} says when that matters. */
    record Tick() implements WatchEvent {}
}

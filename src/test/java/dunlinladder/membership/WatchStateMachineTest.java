package dunlinladder.membership;

import static dunlinladder.membership.WatchDriver.delta;
import static dunlinladder.membership.WatchDriver.snapshot;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the rules of the watch one by one, in virtual time. */
class WatchStateMachineTest {

    private WatchDriver watch = new WatchDriver(7);

    @Test
    void updateOnTheOldConnectionIsAppliedWhileTheAddressChanges() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.assertCommands(new WatchCommand.Open(0, "a:1", 41));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.on(new WatchEvent.Heartbeat(0));
        watch.on(new WatchEvent.AddressChanged("b:1"));
        watch.assertCommands(new WatchCommand.Open(1, "b:1", 41));
        EndpointUpdate drain = delta(42, "x=LEAVING");
        watch.on(new WatchEvent.UpdateReceived(0, drain));
        watch.assertCommands(new WatchCommand.Apply(drain, 41));
        // The new call was made before that update, so it delivers the update again; then only its connection is left.
        watch.on(new WatchEvent.AnswerReceived(1));
        watch.on(new WatchEvent.UpdateReceived(1, delta(42, "x=LEAVING")));
        watch.assertCommands(new WatchCommand.Close(0));
        watch.on(new WatchEvent.UpdateReceived(0, delta(43, "x=ACTIVE")));
        watch.assertCommands();
    }

    @Test
    void newAddressThatHangsIsRacedWhileTheOldConnectionIsRead() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.on(new WatchEvent.AddressChanged("b:1"));
        watch.clearCommands();
        watch.advance(0.35);
        watch.assertCommands(new WatchCommand.Open(2, "b:1", 41));
        watch.advance(0.3);
        watch.assertCommands(new WatchCommand.Open(3, "b:1", 41));
        watch.on(new WatchEvent.UpdateReceived(0, delta(42, "x=LEAVING")));
        assertEquals(1, watch.applied().size());
        watch.clearCommands();
        watch.on(new WatchEvent.AnswerReceived(2));
        watch.assertCommands(new WatchCommand.Close(1), new WatchCommand.Close(3));
        watch.on(new WatchEvent.Heartbeat(2));
        watch.assertCommands(new WatchCommand.Close(0));
    }

    @Test
    void keepsOpeningConnectionsWhenEveryOneHangs() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        for (int i = 0; i < 10; i++) {
            watch.advance(6.1);
            assertTrue(
                    watch.commands().stream().anyMatch(command -> command instanceof WatchCommand.Open),
                    "in round " + i);
            assertTrue(watch.state().connections().size() <= 3);
            watch.clearCommands();
        }
    }

    @Test
    void ignoresUpdatesThatAreNotNewerThanTheList() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.on(new WatchEvent.UpdateReceived(0, delta(43, "x=LEAVING")));
        watch.clearCommands();
        watch.on(new WatchEvent.UpdateReceived(0, snapshot(42, "x=ACTIVE")));
        watch.on(new WatchEvent.UpdateReceived(0, delta(43, "x=ACTIVE")));
        watch.assertCommands();
        watch.on(new WatchEvent.UpdateReceived(0, delta(44, "y=LEFT")));
        assertEquals(1, watch.applied().size());
        assertEquals(44, watch.state().version());
    }

    @Test
    void requestsASnapshotWhenVersionsStayOlderForLong() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.clearCommands();
        watch.on(new WatchEvent.UpdateReceived(0, snapshot(3, "x=ACTIVE")));
        watch.assertCommands();
        for (int i = 0; i < 5; i++) {
            watch.advance(2);
            watch.on(new WatchEvent.Heartbeat(0));
        }
        watch.advance(0.1);
        watch.assertCommands(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 0));
        watch.on(new WatchEvent.AnswerReceived(1));
        EndpointUpdate all = snapshot(4, "x=ACTIVE");
        watch.on(new WatchEvent.UpdateReceived(1, all));
        watch.assertCommands(new WatchCommand.Apply(all, 41));
        watch.on(new WatchEvent.UpdateReceived(1, delta(5, "x=LEAVING")));
        assertEquals(5, watch.state().version());
    }

    @Test
    void requestsASnapshotAfterAnUnreadableUpdate() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.clearCommands();
        watch.on(new WatchEvent.UnreadableUpdate(0));
        watch.assertCommands(new WatchCommand.Close(0));
        watch.advance(0.45);
        watch.assertCommands(new WatchCommand.Open(1, "a:1", 0));
        EndpointUpdate all = snapshot(41, "x=LEAVING");
        watch.on(new WatchEvent.UpdateReceived(1, all));
        watch.assertCommands(new WatchCommand.Apply(all, 41));
        watch.on(new WatchEvent.Closed(1));
        watch.advance(0.25);
        watch.assertCommands(new WatchCommand.Open(2, "a:1", 41));
    }

    @Test
    void requestsASnapshotAfterAnUpdateThatWasNotApplied() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.on(new WatchEvent.UpdateReceived(0, delta(42, "x=LEAVING")));
        assertEquals(42, watch.state().version());
        watch.clearCommands();
        watch.on(new WatchEvent.UpdateNotApplied(41));
        assertEquals(41, watch.state().version());
        watch.advance(0.45);
        watch.assertCommands(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 0));
    }

    @Test
    void silentConnectionStaysOpenUntilAnotherIsAnswered() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.clearCommands();
        watch.advance(2.4);
        watch.assertCommands();
        while (watch.commands().isEmpty() && watch.now() < 3) {
            watch.advance(0.1);
        }
        watch.assertCommands(new WatchCommand.Open(1, "a:1", 41));
        watch.on(new WatchEvent.UpdateReceived(0, delta(42, "x=LEAVING")));
        assertEquals(1, watch.applied().size());
        watch.clearCommands();
        watch.on(new WatchEvent.AnswerReceived(1));
        watch.assertCommands(new WatchCommand.Close(0));
    }

    /** An update that a silent watch misses counts as received after 6 s, even if the next call is lost too. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void silentConnectionIsReplacedInTimeWhenTheNextCallIsLost(long seed) {
        watch = new WatchDriver(seed);
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.Connected(0));
        watch.on(new WatchEvent.AnswerReceived(0));
        watch.on(new WatchEvent.Heartbeat(0));
        watch.advance(3);
        watch.on(new WatchEvent.Connected(1));
        watch.advance(1);
        watch.clearCommands();
        watch.on(new WatchEvent.Connected(2));
        watch.on(new WatchEvent.AnswerReceived(2));
        watch.on(new WatchEvent.UpdateReceived(2, delta(42, "x=LEAVING")));
        assertEquals(1, watch.applied().size());
        assertEquals(1, watch.state().connections().size());
        assertTrue(watch.now() <= 4);
    }

    /** After an outage discovery answers the calls that wait, so from the first call on there must always be one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void callIsWaitingWhenAnOutageEnds(long seed) {
        watch = new WatchDriver(seed);
        watch.on(new WatchEvent.AddressChanged("a:1"));
        while (watch.now() < 60) {
            watch.state().connections().stream()
                    .filter(connection -> !connection.isConnected())
                    .forEach(connection -> watch.on(new WatchEvent.Connected(connection.id())));
            watch.advance(0.05);
            assertFalse(watch.state().connections().isEmpty(), "no open connection at " + watch.now());
        }
        // A call that has timed out can still be answered until the next one is opened.
        while (!watch.state().connections().get(0).isTimedOut()) {
            watch.advance(0.01);
        }
        int timedOutConnection = watch.state().connections().get(0).id();
        watch.clearCommands();
        watch.on(new WatchEvent.UpdateReceived(timedOutConnection, delta(42, "x=LEAVING")));
        assertEquals(1, watch.applied().size());
        watch.advance(1);
        assertEquals(
                List.of(timedOutConnection),
                watch.state().connections().stream().map(WatchConnection::id).toList());
    }

    @Test
    void refusedAddressIsCalledAgainAfterAPause() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.clearCommands();
        watch.on(new WatchEvent.Closed(0));
        watch.assertCommands();
        watch.advance(0.45);
        watch.assertCommands(new WatchCommand.Open(1, "a:1", 41));
    }

    @Test
    void callThatWaitsInDiscoverysQueueIsNotDuplicated() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        watch.on(new WatchEvent.Connected(0));
        watch.clearCommands();
        watch.advance(2.9);
        watch.assertCommands();
        watch.advance(0.6);
        watch.assertCommands(new WatchCommand.Close(0), new WatchCommand.Open(1, "a:1", 41));
    }

    @Test
    void pausesGrowWithFailuresUpToTheMaximum() {
        watch.on(new WatchEvent.AddressChanged("a:1"));
        for (int round = 0; round < 60; round++) {
            watch.clearCommands();
            watch.state().connections().forEach(connection -> watch.on(new WatchEvent.Closed(connection.id())));
            double pause = watch.state().retryNotBefore() - watch.now();
            assertTrue(pause <= Math.min(4, 0.4 * StrictMath.pow(2, round)), "round " + round + ": " + pause);
            watch.advance(pause + 0.01);
            assertEquals(1, watch.commands().size());
        }
        watch.on(
                new WatchEvent.AnswerReceived(watch.state().connections().get(0).id()));
        watch.on(new WatchEvent.Heartbeat(watch.state().connections().get(0).id()));
        watch.on(new WatchEvent.Closed(watch.state().connections().get(0).id()));
        assertTrue(watch.state().retryNotBefore() - watch.now() <= 0.2);
    }
}

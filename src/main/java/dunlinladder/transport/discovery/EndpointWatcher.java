package dunlinladder.transport.discovery;

import dunlinladder.core.DaemonThreads;
import dunlinladder.core.MonotonicClock;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.membership.WatchCommand;
import dunlinladder.membership.WatchEvent;
import dunlinladder.membership.WatchOutcome;
import dunlinladder.membership.WatchStateMachine;
import dunlinladder.membership.WatchTimeouts;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery over HTTP as {@link WatchStateMachine} says. Until there is an update the last list stands.
 *
 * <p>Threads: {@link #run} belongs to a thread of the caller, which only keeps the time; each {@link WatchCall} reads
 * on a thread of its own. An update is applied by the thread that read it, so that nothing waits behind it.
 *
 * <p>Locks: the monitor of this object guards {@code state} and is held while commands are carried out, so that updates
 * are applied in order, one at a time; {@link #run} waits on it and is notified of each new state. {@code calls} is
 * changed under the monitor, or by a call that ends, and read by any thread without it.
 */
public final class EndpointWatcher implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatcher.class);
    /** Shortest wait for the next deadline, in seconds. */
    private static final double MIN_WAIT_SECONDS = 0.02;
    /** Longest wait for the next deadline, in seconds. */
    private static final double MAX_WAIT_SECONDS = 1;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final EndpointListReader reader;
    private final WatchTimeouts timeouts;
    private final MonotonicClock clock;
    private final Consumer<EndpointUpdate> updates;
    private final Map<Integer, WatchCall> calls = new ConcurrentHashMap<>();
    private WatchStateMachine state;

    /**
     * Creates a watcher that asks for what came after a version.
     *
     * @param reader translates discovery's lists
     * @param timeouts the times by which the list is watched
     * @param clock the gateway's clock
     * @param version version of the list that is held already; 0 for none
     * @param seed seed of the random parts of pauses and time-outs
     * @param updates gets the updates in order, one at a time, on the thread that read them; where it throws, a
     *     snapshot is asked for
     */
    public EndpointWatcher(
            EndpointListReader reader,
            WatchTimeouts timeouts,
            MonotonicClock clock,
            long version,
            long seed,
            Consumer<EndpointUpdate> updates) {
        this.reader = reader;
        this.timeouts = timeouts;
        this.clock = clock;
        this.updates = updates;
        this.state = WatchStateMachine.initial(timeouts, version, seed);
    }

    /** Watches discovery at this address, which is resolved, from now on; no update is missed on the way. */
    public void moveTo(InetSocketAddress next) {
        String address = next.getAddress().getHostAddress() + ":" + next.getPort();
        LOG.info("event=discovery_moved address={}", address);
        handle(new WatchEvent.AddressChanged(address));
    }

    /** Reports the time to the state machine until the thread is interrupted, then closes all connections. */
    @Override
    public void run() {
        try {
            while (true) {
                handle(new WatchEvent.Tick());
                awaitDeadline();
            }
        } catch (InterruptedException e) {
            calls.values().forEach(WatchCall::close);
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Whether discovery has written what is not read yet. A send that is about to start waits for it: an update counts
     * from when it was written, however long the reading thread has to wait for a core.
     */
    public boolean hasUnreadUpdate() {
        for (WatchCall call : calls.values()) {
            if (call.hasUnreadBytes()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the last call to discovery was not answered. */
    public synchronized boolean lastCallFailed() {
        return state.lastCallFailed();
    }

    private synchronized void awaitDeadline() throws InterruptedException {
        double seconds = Math.min(MAX_WAIT_SECONDS, state.nextDeadline() - clock.now());
        wait((long) (Math.max(MIN_WAIT_SECONDS, seconds) * MILLIS_PER_SECOND));
    }

    private synchronized void handle(WatchEvent event) {
        WatchOutcome outcome = state.on(event, clock.now());
        state = outcome.state();
        List<Integer> notOpened = new ArrayList<>();
        for (WatchCommand command : outcome.commands()) {
            if (command instanceof WatchCommand.Open open) {
                if (!open(open)) {
                    notOpened.add(open.connection());
                }
            } else if (command instanceof WatchCommand.Close close) {
                cancel(close.connection());
            } else if (command instanceof WatchCommand.Apply apply && !applied(apply.update())) {
                // That event closes all connections, so what is left to open is not opened.
                handle(new WatchEvent.UpdateNotApplied(apply.previousVersion()));
                return;
            }
        }
        notifyAll();
        notOpened.forEach(connection -> handle(new WatchEvent.Closed(connection)));
    }

    /** False where there is no thread for it. */
    private boolean open(WatchCommand.Open command) {
        WatchCall call = new WatchCall(command, reader, timeouts.connect().giveUpSeconds(), new CallListener());
        calls.put(call.id(), call);
        Thread thread = DaemonThreads.create(call, "discovery-" + call.id());
        try {
            thread.start();
        } catch (OutOfMemoryError e) {
            // The system lets the process have no further thread: the list must not stand still for good.
            LOG.warn("event=discovery_call_failed address={} reason={}", command.address(), e.toString());
            calls.remove(call.id());
            return false;
        }
        return true;
    }

    private void cancel(int connection) {
        WatchCall call = calls.remove(connection);
        if (call != null) {
            call.cancel();
        }
    }

    private boolean applied(EndpointUpdate update) {
        try {
            updates.accept(update);
            return true;
        } catch (RuntimeException e) {
            // Whatever the receiver's fault is, the list must not stand still: the snapshot is asked for.
            LOG.error("event=endpoints_not_applied version={}", update.version(), e);
            return false;
        }
    }

    /** Hands what comes on a call to the state machine, on the thread of that call. */
    private final class CallListener implements WatchCall.Listener {

        @Override
        public void received(WatchEvent event) {
            handle(event);
        }

        @Override
        public void ended(WatchCall call, WatchEvent event) {
            calls.remove(call.id(), call);
            call.close();
            handle(event);
        }
    }
}

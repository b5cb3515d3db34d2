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
 * Watches discovery over HTTP and executes the commands of {@link WatchStateMachine}. The last list stays in effect
 * until an update arrives.
 *
 * <p>Threads: {@link #run} runs on a thread of the caller and only reports the time. Each {@link WatchCall} reads on
 * its own thread. The thread that reads an update also applies it, so that no update waits for another thread.
 *
 * <p>Locks: the monitor of this object guards {@code state}. It is held while commands are executed, so that updates
 * are applied in order, one at a time. {@link #run} waits on the monitor and is notified of each new state.
 * {@code calls} is changed while the monitor is held, or by a call that ends; any thread reads it without the monitor.
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
    private final Consumer<EndpointUpdate> updateConsumer;
    private final Map<Integer, WatchCall> calls = new ConcurrentHashMap<>();
    private WatchStateMachine state;

    /**
     * Creates a watcher that requests the updates after a version.
     *
     * @param reader translates discovery's lists
     * @param timeouts the timeouts of the watch
     * @param clock the gateway's clock
     * @param version version of the list that the gateway already has; 0 for none
     * @param seed seed of the random parts of pauses and timeouts
     * @param updateConsumer receives the updates in order, one at a time, on the thread that read them; if it throws, a
     *     snapshot is requested
     */
    public EndpointWatcher(
            EndpointListReader reader,
            WatchTimeouts timeouts,
            MonotonicClock clock,
            long version,
            long seed,
            Consumer<EndpointUpdate> updateConsumer) {
        this.reader = reader;
        this.timeouts = timeouts;
        this.clock = clock;
        this.updateConsumer = updateConsumer;
        this.state = WatchStateMachine.initial(timeouts, version, seed);
    }

    /**
     * Watches discovery at another address from now on. No update is missed during the change.
     *
     * @param next the resolved address
     */
    public void changeAddress(InetSocketAddress next) {
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
     * Whether bytes from discovery were received that are not read yet. A send that is about to start waits for them:
     * an update counts from the time when discovery sent it, even if the reading thread waits for a processor.
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
                if (!startCall(open)) {
                    notOpened.add(open.connection());
                }
            } else if (command instanceof WatchCommand.Close close) {
                cancel(close.connection());
            } else if (command instanceof WatchCommand.Apply apply && !tryApply(apply.update())) {
                // That event closes all connections, so no further connection is opened here.
                handle(new WatchEvent.UpdateNotApplied(apply.previousVersion()));
                return;
            }
        }
        notifyAll();
        notOpened.forEach(connection -> handle(new WatchEvent.Closed(connection)));
    }

    /** Starts a call on its own thread; returns false if the thread cannot be created. */
    private boolean startCall(WatchCommand.Open command) {
        WatchCall call = new WatchCall(command, reader, timeouts.connect().giveUpSeconds(), new CallListener());
        calls.put(call.id(), call);
        Thread thread = DaemonThreads.create(call, "discovery-" + call.id());
        try {
            thread.start();
        } catch (OutOfMemoryError e) {
            // The operating system refuses another thread. The caller reports the call as closed; otherwise the list
            // would never be updated again.
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

    private boolean tryApply(EndpointUpdate update) {
        try {
            updateConsumer.accept(update);
            return true;
        } catch (RuntimeException e) {
            // Whatever the fault of the consumer is, a snapshot is requested, so that the list is still updated.
            LOG.error("event=endpoints_not_applied version={}", update.version(), e);
            return false;
        }
    }

    /** Passes the events of a call to the state machine, on the thread of that call. */
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

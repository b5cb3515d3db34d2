package dunlinladder.transport.discovery;

import dunlinladder.core.Clock;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.membership.WatchCommand;
import dunlinladder.membership.WatchEvent;
import dunlinladder.membership.WatchOutcome;
import dunlinladder.membership.WatchStateMachine;
import dunlinladder.membership.WatchTimeouts;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows discovery over HTTP as {@link WatchStateMachine} says, each link on a thread of its own. Until there is news
 * the last list stands. News is taken in by the thread that read it, so that nothing waits behind it.
 */
public final class EndpointWatcher implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatcher.class);
    /** Shortest and longest sleep between looks at the clock, in seconds. */
    private static final double SLEEP_LEAST = 0.02;

    private static final double SLEEP_MOST = 1;

    private final EndpointListReader reader;
    private final WatchTimeouts timing;
    private final Clock clock;
    private final Consumer<EndpointUpdate> news;
    private final Map<Integer, Link> open = new ConcurrentHashMap<>();
    private WatchStateMachine state;

    /**
     * Creates a watch for what came after {@code version}; {@code seed} feeds the pauses between calls, {@code news} is
     * told in order, one at a time.
     */
    public EndpointWatcher(
            EndpointListReader reader,
            WatchTimeouts timing,
            Clock clock,
            long version,
            long seed,
            Consumer<EndpointUpdate> news) {
        this.reader = reader;
        this.timing = timing;
        this.clock = clock;
        this.news = news;
        this.state = WatchStateMachine.initial(timing, version, seed);
    }

    /** Follows discovery at this address from now on; nothing is missed on the way. */
    public void moveTo(InetSocketAddress next) {
        String address = next.getAddress().getHostAddress() + ":" + next.getPort();
        LOG.info("discovery is at {}", address);
        on(new WatchEvent.AddressChanged(address));
    }

    /** Looks at the clock until it is interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                on(new WatchEvent.Tick());
                synchronized (this) {
                    double left = Math.min(SLEEP_MOST, state.nextDeadline() - clock.now());
                    wait((long) (Math.max(SLEEP_LEAST, left) * 1e3));
                }
            }
        } catch (InterruptedException e) {
            open.values().forEach(Link::close);
        }
    }

    /**
     * Whether discovery has written what is not yet read. A send that is about to start waits for it: what is told
     * counts from when it was written, however long the reading thread has to wait for a core.
     */
    public boolean hasUnreadUpdate() {
        for (Link link : open.values()) {
            if (link.unread()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the last call to discovery was not answered. */
    public synchronized boolean lastCallFailed() {
        return state.lastCallFailed();
    }

    private synchronized void on(WatchEvent event) {
        WatchOutcome next = state.on(event, clock.now());
        state = next.state();
        for (WatchCommand command : next.commands()) {
            if (command instanceof WatchCommand.Open wanted) {
                new Link(wanted).start();
            } else if (command instanceof WatchCommand.Close close) {
                Link link = open.remove(close.connection());
                if (link != null) {
                    link.close();
                }
            } else if (command instanceof WatchCommand.Apply take && !taken(take.update())) {
                on(new WatchEvent.UpdateNotApplied(take.previousVersion()));
                return;
            }
        }
        notifyAll();
    }

    private boolean taken(EndpointUpdate told) {
        try {
            news.accept(told);
            return true;
        } catch (RuntimeException e) {
            LOG.error("list version {} could not be taken in; the whole list is asked for", told.version(), e);
            return false;
        }
    }

    /** One connection to discovery. */
    private final class Link implements Runnable {
        private final WatchCommand.Open wanted;
        private final Socket socket = new Socket();

        Link(WatchCommand.Open wanted) {
            this.wanted = wanted;
        }

        void start() {
            open.put(wanted.connection(), this);
            Thread thread = new Thread(this, "discovery-" + wanted.connection());
            thread.setDaemon(true);
            thread.start();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("closing a link to discovery: {}", e.toString());
            }
        }

        boolean unread() {
            try {
                return socket.isConnected()
                        && !socket.isClosed()
                        && socket.getInputStream().available() > 0;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void run() {
            WatchEvent end = new WatchEvent.Closed(wanted.connection());
            try {
                follow();
                LOG.info("discovery at {} ended its watch", wanted.address());
            } catch (IOException | HttpException e) {
                if (open.get(wanted.connection()) == this) {
                    LOG.warn("discovery at {}: {}", wanted.address(), e.toString());
                }
            } catch (InvalidInputException e) {
                LOG.warn(
                        "discovery at {} sent what can't be read, the whole list is asked for: {}",
                        wanted.address(),
                        e.getMessage());
                end = new WatchEvent.UnreadableUpdate(wanted.connection());
            } catch (RuntimeException | OutOfMemoryError e) {
                // This thread must not end in silence: without its link the list would stand still for good.
                LOG.error("discovery at {}", wanted.address(), e);
                end = new WatchEvent.UnreadableUpdate(wanted.connection());
            } finally {
                open.remove(wanted.connection(), this);
                close();
                on(end);
            }
        }

        private void follow() throws IOException, HttpException {
            int colon = wanted.address().lastIndexOf(':');
            try (DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(null)) {
                socket.setTcpNoDelay(true);
                socket.connect(
                        new InetSocketAddress(
                                wanted.address().substring(0, colon),
                                Integer.parseInt(wanted.address().substring(colon + 1))),
                        (int) (timing.connect().giveUpSeconds() * 1000));
                connection.bind(socket);
                BasicClassicHttpRequest request =
                        new BasicClassicHttpRequest("GET", "/discovery/hosts?follow=1&since=" + wanted.since());
                request.setHeader("Host", wanted.address());
                connection.sendRequestHeader(request);
                connection.flush();
                on(new WatchEvent.Connected(wanted.connection()));
                ClassicHttpResponse response = connection.receiveResponseHeader();
                if (response.getCode() != 200) {
                    throw new IOException("status " + response.getCode());
                }
                on(new WatchEvent.AnswerReceived(wanted.connection()));
                connection.receiveResponseEntity(response);
                JsonObject.Values lists = new JsonObject.Values(
                        response.getEntity().getContent(), () -> on(new WatchEvent.Heartbeat(wanted.connection())));
                for (JsonObject list = lists.next(); list != null; list = lists.next()) {
                    on(new WatchEvent.UpdateReceived(wanted.connection(), reader.read(list, false)));
                }
            }
        }
    }
}

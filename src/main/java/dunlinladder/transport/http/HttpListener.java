package dunlinladder.transport.http;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.DaemonThreads;
import dunlinladder.core.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestValidateHost;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.http.protocol.ResponseDate;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.AcceptedChannelReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listening address and the client connections that were accepted on it.
 *
 * <p>Threads: a {@link ConnectionAcceptor} waits until a connection is allowed and hands it over; HttpCore's I/O thread
 * creates the handlers of connections and reports their ends. The gateway's timer calls {@link #enforceTimeouts}, its
 * shutdown {@link #shutDownConnections}. The connections are in a concurrent map, so nothing here takes a lock.
 */
public final class HttpListener implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);

    /** One thread reads and writes all connections, because the gateway runs on a fraction of a core. */
    private static final int IO_THREADS = 1;
    /** Maximum number of connections that wait in the listen queue to be accepted. */
    private static final int LISTEN_QUEUE_LENGTH = 1024;

    private static final int SELECT_INTERVAL_MILLIS = 50;
    /** Interval at which the number of open connections is checked while it is at its limit. */
    private static final int CAPACITY_POLL_MILLIS = 1;

    /** When the connection limit is reached again within this time, more connections are evicted at once. */
    private static final long FULL_AGAIN_NANOS = 20_000_000;
    /** Maximum number of connections that are evicted at once. */
    private static final int MAX_EVICTION_BATCH = 32;
    /**
     * Order of eviction: first the connections that have had no response, then the others. In each of these groups the
     * connection that has been idle for longest comes first.
     */
    private static final Comparator<IdleConnection> EVICTION_ORDER = Comparator.comparing(IdleConnection::answered)
            .thenComparing(Comparator.comparingDouble(IdleConnection::seconds).reversed());

    /** A snapshot of a connection's sort keys: they must not change during a sort. */
    private record IdleConnection(ClientConnection connection, boolean answered, double seconds) {

        static IdleConnection of(ClientConnection connection) {
            return new IdleConnection(connection, connection.hasAnsweredRequest(), connection.idleSeconds());
        }
    }

    // Without ResponseConnControl, which closes the connection after every 503.
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .add(new RequestValidateHost())
            .addAll(new ResponseContent(), new ResponseDate())
            .build();
    private final Http1Config config;
    private final AcceptedChannelReactor reactor;
    private final Counters counters;
    /** The open connections by the id of their session. */
    private final Map<String, ClientConnection> connections = new ConcurrentHashMap<>();

    /**
     * {@link System#nanoTime} at which the connection limit was last reached; used by the accepting thread only, as is
     * {@link #evictionBatch}.
     */
    private long lastFullAt = System.nanoTime() - FULL_AGAIN_NANOS;

    private int evictionBatch = 1;

    private final Limits limits;
    private final int maxConnections;
    private final Supplier<? extends ServerExchange> exchangeFactory;
    /** Null until {@link #listen}. */
    private ConnectionAcceptor acceptor;

    /**
     * Creates a listener and starts its I/O thread; it accepts nothing before {@link #listen}.
     *
     * @param maxConnections maximum number of open client connections
     * @param exchangeFactory creates the exchange of each request
     */
    public HttpListener(
            int maxConnections, Limits limits, Counters counters, Supplier<? extends ServerExchange> exchangeFactory) {
        this.maxConnections = maxConnections;
        this.limits = limits;
        this.counters = counters;
        this.exchangeFactory = exchangeFactory;
        config = MessageHeadParser.config(limits);
        reactor = new AcceptedChannelReactor(
                this::createHandler,
                reactorConfig(),
                new ReactorListener(),
                ShutdownCommand.GRACEFUL_NORMAL_CALLBACK,
                task -> DaemonThreads.create(task, "client-io"));
        reactor.start();
    }

    private static IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(IO_THREADS)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                .build();
    }

    /**
     * Waits until the number of connections is below its limit. Until then idle connections are closed, and new ones
     * wait in the listen queue. If the limit is reached again soon, the number closed at once doubles, because clients
     * with requests wait in the queue behind idle connections.
     */
    private void awaitCapacity() throws InterruptedException {
        while (connections.size() + reactor.unregisteredCount() >= maxConnections) {
            long now = System.nanoTime();
            boolean fullAgain = now - lastFullAt < FULL_AGAIN_NANOS;
            evictionBatch = fullAgain ? Math.min(2 * evictionBatch, MAX_EVICTION_BATCH) : 1;
            lastFullAt = now;
            evictIdle(evictionBatch);
            Thread.sleep(CAPACITY_POLL_MILLIS);
        }
    }

    /** Receives the connections that the accepting thread hands over. */
    private final class AcceptedConnections implements ConnectionAcceptor.Listener {

        @Override
        public void awaitCapacity() throws InterruptedException {
            HttpListener.this.awaitCapacity();
        }

        @Override
        public void accepted(SocketChannel channel, ConnectionArrival arrival) {
            reactor.add(channel, arrival);
        }
    }

    private void evictIdle(int maxEvictions) {
        connections.values().stream()
                .map(IdleConnection::of)
                .filter(idle -> idle.seconds() > limits.evictSeconds())
                .sorted(EVICTION_ORDER)
                .limit(maxEvictions)
                .forEach(idle -> {
                    counters.increment(Counter.CONNECTIONS_EVICTED);
                    idle.connection().close();
                });
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        return new ConfinedEventHandler(() -> register(session, (ConnectionArrival) attachment));
    }

    private IOEventHandler register(ProtocolIOSession session, ConnectionArrival arrival) {
        ClientConnection connection = new ClientConnection(session, arrival, limits, config, exchangeFactory);
        IOEventHandler handler = connection.handler(processor, config);
        connections.put(session.getId(), connection);
        return handler;
    }

    /**
     * Starts to listen and to accept connections.
     *
     * @return the port; the operating system chooses it if {@code address} has port 0
     * @throws IOException if the address cannot be listened on
     */
    public int listen(InetSocketAddress address) throws IOException {
        try {
            acceptor = new ConnectionAcceptor(address, LISTEN_QUEUE_LENGTH, counters, new AcceptedConnections());
            DaemonThreads.create(acceptor, "client-accept").start();
            return acceptor.port();
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Closes the connections of clients that take too long; must be called often. */
    public void enforceTimeouts() {
        connections.values().forEach(ClientConnection::enforceTimeouts);
    }

    /** Stops accepting connections. */
    public void stopListening() throws InterruptedException {
        acceptor.stop();
    }

    /**
     * Closes the idle connections; the others close after their response. Must be called repeatedly until it returns
     * true, which means that no connection is open or waits for its registration.
     */
    public boolean shutDownConnections() {
        connections.values().forEach(ClientConnection::shutDown);
        return reactor.unregisteredCount() == 0 && connections.isEmpty();
    }

    /** Whether any submitted request has a response that has not been written in full. */
    public boolean isAnswering() {
        return connections.values().stream().anyMatch(ClientConnection::isAnswering);
    }

    /** Closes all connections at once. */
    @Override
    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }

    /** Removes connections that have ended, and all when the I/O thread has failed; runs on the I/O thread. */
    private final class ReactorListener implements AcceptedChannelReactor.Listener {

        @Override
        public void listenerFailed(Exception e) {
            LOG.warn("event=listener_error reason={}", e.toString());
        }

        @Override
        public void reactorFailed(Throwable failure) {
            connections.values().forEach(ClientConnection::drop);
            connections.clear();
            counters.increment(Counter.CLIENT_IO_RESTARTS);
            LOG.error("event=client_io_restarted", failure);
        }

        @Override
        public void connected(IOSession session) {
            // Already added when its handler was created.
        }

        @Override
        public void disconnected(IOSession session) {
            connections.remove(session.getId());
        }

        @Override
        public void startTls(IOSession session) {
            // Plain TCP only.
        }

        @Override
        public void inputReady(IOSession session) {
            // Only disconnects matter here.
        }

        @Override
        public void outputReady(IOSession session) {
            // Only disconnects matter here.
        }

        @Override
        public void timeout(IOSession session) {
            // Only disconnects matter here.
        }

        @Override
        public void exception(IOSession session, Exception e) {
            LOG.debug("event=client_connection_error reason={}", e.toString());
        }
    }
}

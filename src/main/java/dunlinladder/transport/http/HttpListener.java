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
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestValidateHost;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.http.protocol.ResponseDate;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.AcceptedChannelReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One listening address and the client connections that came in by it.
 *
 * <p>Threads: a {@link ConnectionAcceptor} waits for room and hands connections over, HttpCore's I/O thread makes their
 * handlers and hears of their end. {@link #sweep} is the gateway's timer's, {@link #closeIdle} its shutdown's. The
 * connections are in a concurrent map, so nothing here takes a lock.
 */
public final class HttpListener implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);

    /** One thread reads and writes all connections: it has a fraction of a core to run on. */
    private static final int IO_THREADS = 1;
    /** Connections that the system may hold before they are accepted. */
    private static final int LISTEN_QUEUE = 1024;

    private static final int SELECT_MILLIS = 50;
    /** Between two looks whether a connection has made room for the next one. */
    private static final int ADMISSION_POLL_MILLIS = 1;

    /** Full again within this time, the address is crowded. */
    private static final long CROWDED_NANOS = 20_000_000;
    /** Connections that are closed at once for lack of room. */
    private static final int MAX_EVICTIONS = 32;
    /** Clients that have never been answered go first, of each those that have been idle longest. */
    private static final Comparator<IdleConnection> EVICTED_FIRST = Comparator.comparing(IdleConnection::answered)
            .thenComparing(Comparator.comparingDouble(IdleConnection::seconds).reversed());

    /** A connection and what is compared of it, as it was at one moment: a sort must not see it change. */
    private record IdleConnection(ClientConnection connection, boolean answered, double seconds) {

        static IdleConnection of(ClientConnection connection) {
            return new IdleConnection(connection, connection.hasBeenAnswered(), connection.idleSeconds());
        }
    }

    // ResponseConnControl is left out: it closes the connection after every 503.
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .add(new RequestValidateHost())
            .addAll(new ResponseContent(), new ResponseDate())
            .build();
    private final Http1Config config;
    private final AcceptedChannelReactor reactor;
    private final Counters counters;
    /** By the id of their session. */
    private final Map<String, ClientConnection> connections = new ConcurrentHashMap<>();
    /** Accepted connections that their I/O thread has not yet taken up. */
    private final AtomicInteger handedOver = new AtomicInteger();

    /** When there was no room last, by {@link System#nanoTime}; the accepting thread's alone, as is the next. */
    private long lastFullAt = System.nanoTime() - CROWDED_NANOS;

    private int evictions = 1;

    private final Limits limits;
    private final int maxConnections;
    private final Supplier<? extends ServerExchange> exchanges;
    /** Null until {@link #listen}. */
    private ConnectionAcceptor acceptor;

    /**
     * Creates a listener and starts its threads; it accepts nothing before {@link #listen}.
     *
     * @param maxConnections client connections held at once
     * @param exchanges makes the exchange of each request
     */
    public HttpListener(
            int maxConnections, Limits limits, Counters counters, Supplier<? extends ServerExchange> exchanges) {
        this.maxConnections = maxConnections;
        this.limits = limits;
        this.counters = counters;
        this.exchanges = exchanges;
        config = MessageHeadParser.config(limits);
        reactor = new AcceptedChannelReactor(
                this::createHandler,
                reactorConfig(),
                e -> LOG.warn("event=listener_error reason={}", e.toString()),
                new SessionEndListener(),
                ShutdownCommand.GRACEFUL_NORMAL_CALLBACK,
                task -> DaemonThreads.create(task, "client-io"));
        reactor.start();
    }

    private static IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(IO_THREADS)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_MILLIS))
                .build();
    }

    /**
     * While there are too many connections, some that have no request are closed, and the next ones wait in the listen
     * queue. Where they keep coming, more and more are closed at once: clients with requests wait behind those without.
     */
    private void awaitRoom() throws InterruptedException {
        while (connections.size() + handedOver.get() >= maxConnections) {
            long now = System.nanoTime();
            boolean crowded = now - lastFullAt < CROWDED_NANOS;
            evictions = crowded ? Math.min(2 * evictions, MAX_EVICTIONS) : 1;
            lastFullAt = now;
            evictIdle(evictions);
            Thread.sleep(ADMISSION_POLL_MILLIS);
        }
    }

    /** What the accepting thread hands to this listener. */
    private final class Intake implements ConnectionAcceptor.Listener {

        @Override
        public void awaitRoom() throws InterruptedException {
            HttpListener.this.awaitRoom();
        }

        @Override
        public void accepted(SocketChannel channel, ConnectionArrival arrival) {
            handedOver.incrementAndGet();
            try {
                reactor.add(channel, arrival);
            } catch (IOReactorShutdownException e) {
                handedOver.decrementAndGet();
                Closer.closeQuietly(channel);
            }
        }
    }

    private void evictIdle(int most) {
        connections.values().stream()
                .map(IdleConnection::of)
                .filter(idle -> idle.seconds() > limits.evictSeconds())
                .sorted(EVICTED_FIRST)
                .limit(most)
                .forEach(idle -> {
                    counters.increment(Counter.CONNECTIONS_EVICTED);
                    idle.connection().close();
                });
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        ClientConnection connection =
                new ClientConnection(session, (ConnectionArrival) attachment, limits, config, exchanges);
        connections.put(session.getId(), connection);
        handedOver.decrementAndGet();
        return connection.handler(processor, config);
    }

    /**
     * Listens.
     *
     * @return the port, which the system chooses where 0 was asked for
     * @throws IOException where the address cannot be listened on
     */
    public int listen(InetSocketAddress address) throws IOException {
        try {
            acceptor = new ConnectionAcceptor(address, LISTEN_QUEUE, counters, new Intake());
            DaemonThreads.create(acceptor, "client-accept").start();
            return acceptor.port();
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Closes the connections of clients that take too long; to be called often. */
    public void sweep() {
        connections.values().forEach(ClientConnection::sweep);
    }

    /** Stops accepting connections. */
    public void stopListening() throws InterruptedException {
        acceptor.stop();
    }

    /**
     * Closes the connections on which nothing is going on; the others close after their answer. To be called until it
     * returns true: none is left, nor on its way in.
     */
    public boolean closeIdle() {
        connections.values().forEach(ClientConnection::end);
        return handedOver.get() == 0 && connections.isEmpty();
    }

    /** Whether a request was taken whose answer has not been written in full. */
    public boolean isAnswering() {
        return connections.values().stream().anyMatch(ClientConnection::isAnswering);
    }

    /** Closes all connections at once. */
    @Override
    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }

    /** Forgets connections that have ended; runs on the I/O thread. */
    private final class SessionEndListener implements IOSessionListener {

        @Override
        public void connected(IOSession session) {
            // Known since its handler was made.
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
            // Only ends matter here.
        }

        @Override
        public void outputReady(IOSession session) {
            // Only ends matter here.
        }

        @Override
        public void timeout(IOSession session) {
            // Only ends matter here.
        }

        @Override
        public void exception(IOSession session, Exception e) {
            LOG.debug("event=client_connection_error reason={}", e.toString());
        }
    }
}

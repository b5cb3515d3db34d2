package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestValidateHost;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.http.protocol.ResponseDate;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One listening address and the client connections that came in by it. */
public final class HttpListener implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);

    // ResponseConnControl is left out: it closes the connection after every 503.
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .add(new RequestValidateHost())
            .addAll(new ResponseContent(), new ResponseDate())
            .build();
    private final Http1Config config;
    private final HttpAsyncServer server;
    private final Map<String, ClientConnection> connections = new ConcurrentHashMap<>();
    /** Accepted connections that their reactor has not yet taken up. */
    private final AtomicInteger handedOver = new AtomicInteger();

    private final Limits limits;
    private final int most;
    private final Supplier<? extends ServerExchange> exchanges;
    private ListenerEndpoint endpoint;

    /** Creates a server for so many connections; each request gets an exchange of its own. */
    public HttpListener(int mostConnections, Limits limits, Supplier<? extends ServerExchange> exchanges) {
        this.most = mostConnections;
        this.limits = limits;
        this.exchanges = exchanges;
        config = MessageHeadParser.config(limits);
        server = new HttpAsyncServer(
                this::connection,
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(1024)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSelectInterval(TimeValue.ofMilliseconds(50))
                        .build(),
                null,
                e -> LOG.warn("server: {}", e.toString()),
                new Ends(),
                null,
                this::admit,
                "localhost");
        server.start();
    }

    /**
     * Runs on the accepting thread before a connection is handed to its reactor. While there are too many, the one that
     * has been without a request longest is closed, and the next ones wait in the listen queue: HttpCore's listener
     * would accept them all, and ends for good when the descriptors run out.
     */
    private int admit(IOWorkerStats[] workers) {
        handedOver.incrementAndGet();
        try {
            while (connections.size() + handedOver.get() > most) {
                connections.values().stream()
                        .filter(each -> each.idle() > limits.evictSeconds())
                        .max(Comparator.comparingDouble(ClientConnection::idle))
                        .ifPresent(ClientConnection::close);
                Thread.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private IOEventHandler connection(ProtocolIOSession session, Object attachment) {
        ClientConnection connection = new ClientConnection(session, limits, config, exchanges);
        connections.put(session.getId(), connection);
        handedOver.decrementAndGet();
        return connection.handler(processor, config);
    }

    /** Listens; returns the port, which the system chooses where 0 was asked for. */
    public int listen(InetSocketAddress address) throws IOException, InterruptedException {
        try {
            endpoint = server.listen(address, URIScheme.HTTP).get();
            return ((InetSocketAddress) endpoint.getAddress()).getPort();
        } catch (ExecutionException e) {
            throw new IOException(
                    "cannot listen on " + address + ": " + e.getCause().getMessage(), e);
        }
    }

    /** Closes the connections of clients that take too long; to be called often. */
    public void sweep() {
        connections.values().forEach(ClientConnection::sweep);
    }

    /** Stops accepting connections. */
    public void stopListening() throws IOException {
        endpoint.close();
    }

    /**
     * Closes the connections on which nothing is going on; the others close after their answer. To be called until it
     * returns true: none is left, nor on its way in.
     */
    public boolean closeIdle() {
        connections.values().forEach(ClientConnection::end);
        return handedOver.get() == 0 && connections.isEmpty();
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }

    /** Forgets connections that have ended. */
    private final class Ends implements IOSessionListener {

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
            // Ends only.
        }

        @Override
        public void outputReady(IOSession session) {
            // Ends only.
        }

        @Override
        public void timeout(IOSession session) {
            // Ends only.
        }

        @Override
        public void exception(IOSession session, Exception e) {
            LOG.debug("client connection: {}", e.toString());
        }
    }
}

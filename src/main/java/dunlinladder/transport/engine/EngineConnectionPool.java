package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Limits;
import dunlinladder.transport.http.ChunkedBodyDecoder;
import dunlinladder.transport.http.MessageHeadParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.URIAuthority;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outgoing connections: HttpCore's requester opens them and its pool keeps them. The pool holds the bare sessions
 * rather than endpoints, because an attempt is given up by closing its connection at once, while an endpoint's own
 * release waits for the exchange to end. Nothing here sends anything twice.
 */
public final class EngineConnectionPool implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EngineConnectionPool.class);

    private final HttpAsyncRequester requester;
    private final StrictConnPool<HttpHost, IOSession> pool;
    private final Limits limits;
    private final Timeout connectTimeout;
    private final ScheduledExecutorService timer;
    private volatile long distrustedAt;
    /** Nanoseconds since this was made at which each address last left a connection fit for reuse. */
    private final Map<String, Long> answered = new ConcurrentHashMap<>();

    private final long madeAt = System.nanoTime();
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .addAll(new RequestContent(), new RequestTargetHost())
            .build();
    private final Http1Config config;

    /** Starts the requester. */
    public EngineConnectionPool(Limits limits, ScheduledExecutorService timer) {
        this.limits = limits;
        this.connectTimeout = Timeout.ofMilliseconds((long) (limits.connectSeconds() * 1000));
        this.timer = timer;
        this.distrustedAt = System.nanoTime() - (long) (limits.reuseSuspensionSeconds() * 1e9) - 1;
        this.config = MessageHeadParser.config(limits);
        // The pool's own limit for a route is 5 by default; here only the total binds.
        pool = new StrictConnPool<>(
                limits.engineConnections(),
                limits.engineConnections(),
                TimeValue.NEG_ONE_MILLISECOND,
                PoolReusePolicy.LIFO,
                IOSession::close,
                null);
        requester = new HttpAsyncRequester(
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSelectInterval(TimeValue.ofMilliseconds(50))
                        .build(),
                (session, attachment) -> attachment instanceof IOEventHandler own ? own : handler(session),
                null,
                null,
                null,
                pool,
                null,
                null,
                null,
                null);
        requester.start();
    }

    /** HttpCore's client side with our own reading of heads and chunks: an engine may send anything. */
    private IOEventHandler handler(ProtocolIOSession session) {
        return new ClientHttp1IOEventHandler(
                new ClientHttp1StreamDuplexer(
                        session,
                        processor,
                        config,
                        CharCodingConfig.DEFAULT,
                        null,
                        new MessageHeadParser<>(
                                new DefaultHttpResponseParserFactory(config).create(),
                                limits.headBytes(),
                                limits.interimResponses()),
                        DefaultHttpRequestWriterFactory.INSTANCE.create(),
                        null,
                        null,
                        null) {
                    @Override
                    protected ContentDecoder createContentDecoder(
                            long length,
                            ReadableByteChannel channel,
                            SessionInputBuffer buffer,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return length == -1
                                ? new ChunkedBodyDecoder(channel, buffer, limits.chunkBytes())
                                : super.createContentDecoder(length, channel, buffer, metrics);
                    }
                });
    }

    /** What waits for a connection. */
    interface Waiting {
        void connected(PoolEntry<HttpHost, IOSession> entry, boolean reused);

        void notConnected();
    }

    /** Opens a connection beside the pool; its events run on the thread that hears the engines. */
    void open(String address, IOEventHandler handler) throws IOException {
        try {
            requester
                    .requestSession(host(address), connectTimeout, handler, null)
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before a connection to " + address, e);
        } catch (ExecutionException e) {
            throw new IOException("no connection to " + address, e);
        }
    }

    /** Finds an open connection to an address, or opens one. */
    void lease(String address, Waiting waiting) {
        HttpHost host;
        try {
            host = host(address);
        } catch (IOException e) {
            waiting.notConnected();
            return;
        }
        pool.lease(host, null, connectTimeout, new Done<PoolEntry<HttpHost, IOSession>>(waiting) {
            @Override
            public void completed(PoolEntry<HttpHost, IOSession> entry) {
                connect(host, entry, waiting);
            }
        });
    }

    private void connect(HttpHost host, PoolEntry<HttpHost, IOSession> entry, Waiting waiting) {
        if (entry.hasConnection()
                && entry.getConnection().isOpen()
                && System.nanoTime() - distrustedAt > limits.reuseSuspensionSeconds() * 1e9) {
            waiting.connected(entry, true);
            return;
        }
        entry.discardConnection(CloseMode.IMMEDIATE);
        requester.requestSession(host, connectTimeout, null, new Done<IOSession>(waiting) {
            @Override
            public void completed(IOSession session) {
                entry.assignConnection(session);
                waiting.connected(entry, false);
            }

            @Override
            public void failed(Exception e) {
                pool.release(entry, false);
                super.failed(e);
            }
        });
    }

    private abstract static class Done<T> implements FutureCallback<T> {
        private final Waiting waiting;

        Done(Waiting waiting) {
            this.waiting = waiting;
        }

        @Override
        public void failed(Exception e) {
            waiting.notConnected();
        }

        @Override
        public void cancelled() {
            failed(null);
        }
    }

    /**
     * A kept connection broke under its next request, which may have run and so may be lost. Where engines or what lies
     * between end idle connections without a word, the next ones would break the same way: for a while each request
     * gets a connection of its own.
     */
    void distrust() {
        distrustedAt = System.nanoTime();
    }

    /**
     * Gives a connection back for the next request, after a moment: an engine may send more behind an answer than
     * belongs to it, and that must not be taken for the next answer. What comes on a connection that waits for nothing
     * closes it.
     */
    void giveBack(PoolEntry<HttpHost, IOSession> entry) {
        answered.put(entry.getRoute().toHostString(), System.nanoTime() - madeAt);
        timer.schedule(
                () -> {
                    entry.updateExpiry(TimeValue.ofMilliseconds((long) (limits.idleSeconds() * 1000)));
                    pool.release(entry, entry.getConnection().isOpen());
                },
                (long) (limits.reuseDelaySeconds() * 1e6),
                TimeUnit.MICROSECONDS);
    }

    /**
     * Closes a connection now, whatever it carries. A channel that a selector knows is closed for good by the
     * selector's thread, when that gets a core; until then the engine would take the attempt for one that is still out,
     * while its client may already have been refused. So our sending is ended here and at once.
     */
    void drop(PoolEntry<HttpHost, IOSession> entry) {
        IOSession session = entry.getConnection();
        if (session != null && session.channel() instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                LOG.debug("ended by the other side: {}", e.toString());
            }
        }
        entry.discardConnection(CloseMode.IMMEDIATE);
        pool.release(entry, false);
    }

    /** When each address was last found to answer, or at least to accept, on a clock of its own. */
    Map<String, Long> answered() {
        return Map.copyOf(answered);
    }

    /** Closes what has been idle too long; to be called now and then. */
    public void closeIdle() {
        long oldest = System.nanoTime() - madeAt - (long) (limits.idleSeconds() * 1e9);
        answered.values().removeIf(at -> at < oldest);
        pool.closeExpired();
        pool.closeIdle(TimeValue.ofMilliseconds((long) (limits.idleSeconds() * 1000)));
    }

    /** The authority by which an engine is addressed. */
    static URIAuthority authority(Engine engine) {
        int colon = engine.address().lastIndexOf(':');
        return new URIAuthority(
                engine.address().substring(0, colon),
                Integer.parseInt(engine.address().substring(colon + 1)));
    }

    static HttpHost host(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        try {
            // Named by its address: without a name HttpCore asks DNS for one, which may take seconds.
            String name = address.substring(0, Math.max(0, colon));
            return new HttpHost(
                    null, InetAddress.getByName(name), name, Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IOException("not an address: " + address, e);
        }
    }

    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
        requester.close(CloseMode.IMMEDIATE);
    }
}

package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import dunlinladder.core.Seconds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.nio.support.ImmediateResponseExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * A connection from a client: accepts one request at a time, enforces the client's timeouts and closes the connection.
 * It parses each request head for HttpCore, and therefore detects the end of the client's input first. HttpCore treats
 * that end as a graceful shutdown and completes the response, although nobody reads it; here a client that closes its
 * connection counts as disconnected.
 *
 * <p>Threads: the I/O thread calls {@link #parse}, {@link #reset} and {@link #create}; the timer calls
 * {@link #enforceTimeouts}; the accepting thread calls {@link #close} and {@link #idleSeconds}; the shutdown calls
 * {@link #shutDown}. The object's monitor guards {@code closedDuringHead} and the step by which a head becomes
 * complete, so that a connection is never closed while a request on it is being accepted. All other shared fields are
 * volatile.
 */
final class ClientConnection implements NHttpMessageParser<HttpRequest>, HandlerFactory<AsyncServerExchangeHandler> {

    /** Size of the buffer for input that is discarded. */
    private static final int DISCARD_BUFFER_BYTES = 1024;

    private static final double NANOS_PER_SECOND = 1e9;
    /** A client may send the rest of a rejected body for this multiple of the request timeout. */
    private static final int DISCARDED_BODY_TIMEOUT_FACTOR = 2;

    /** How much of the next request has been received. */
    private enum Phase {
        /** None of it has been received. */
        IDLE,
        HEAD_PARTIAL,
        /** Its head has been read, but its exchange is not open yet. */
        HEAD_COMPLETE,
        EXCHANGE_OPEN
    }

    private final ProtocolIOSession session;
    private final ClientInput input;
    private final ConnectionArrival arrival;
    private final Limits limits;
    private final Supplier<? extends ServerExchange> exchangeFactory;
    private final MessageHeadParser<HttpRequest> parser;
    /** The exchange of the open request, null if there is none. */
    private volatile ServerExchange openExchange;

    private volatile Phase phase = Phase.IDLE;
    /**
     * {@link System#nanoTime} of the latest of these: the connection was registered, its last response ended, the first
     * byte after that response arrived.
     */
    private volatile long waitingSince = System.nanoTime();

    private volatile boolean hasAnswered;
    /** {@link System#nanoTime} at which the I/O thread registered the connection. */
    private final long registeredAt = System.nanoTime();
    /** Whether this side closed the connection in the middle of a head; the rest of that head is ignored. */
    private volatile boolean closedDuringHead;
    /** Whether a close was requested. */
    private volatile boolean closing;
    /** Whether the close at shutdown was requested; used by the shutdown thread only. */
    private boolean shutdownRequested;
    /** Whether a pipelined request was rejected and all later input is discarded; used by the I/O thread only. */
    private boolean discardingInput;
    /** Receives discarded input; allocated when a pipelined request is rejected. */
    private ByteBuffer discardBuffer;

    ClientConnection(
            ProtocolIOSession session,
            ConnectionArrival arrival,
            Limits limits,
            Http1Config config,
            Supplier<? extends ServerExchange> exchangeFactory) {
        this.session = session;
        this.input = new ClientInput(session);
        this.arrival = arrival;
        this.limits = limits;
        this.exchangeFactory = exchangeFactory;
        this.parser =
                new MessageHeadParser<>(new DefaultHttpRequestParserFactory(config).create(), limits.headBytes(), 0);
    }

    /** Returns the handler through which HttpCore drives this connection. */
    IOEventHandler handler(HttpProcessor processor, Http1Config config) {
        return input.handler(new BoundedDuplexer(processor, config));
    }

    /** HttpCore's HTTP/1.1 protocol handler with this project's head parser and chunk decoder. */
    private final class BoundedDuplexer extends ServerHttp1StreamDuplexer {

        BoundedDuplexer(HttpProcessor processor, Http1Config config) {
            super(
                    session,
                    processor,
                    ClientConnection.this,
                    URIScheme.HTTP.id,
                    config,
                    CharCodingConfig.DEFAULT,
                    null,
                    ClientConnection.this,
                    DefaultHttpResponseWriterFactory.INSTANCE.create(),
                    null,
                    null,
                    null,
                    null);
        }

        @Override
        protected ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            return length == ContentLengthStrategy.CHUNKED
                    ? new ChunkedBodyDecoder(channel, buffer, limits.chunkBytes())
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }

    // ---- Reading ----

    /**
     * Returns the next head, or null if more of it must arrive first.
     *
     * @throws ConnectionClosedException if the client has closed the connection, or this side has closed it while the
     *     head was partly received
     */
    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        input.setBuffer(buffer);
        if (endOfStream) {
            ServerExchange exchange = openExchange;
            if (exchange != null) {
                exchange.disconnect();
            }
            throw new ConnectionClosedException("closed by the client");
        }
        if (discardingInput) {
            discard(buffer);
            return null;
        }
        return parseHead(buffer);
    }

    /**
     * Reads and discards input that the client sent without waiting for the response. If it stayed unread, the end of
     * the client's input would not be detected, and the accepted request would continue after the client has gone.
     */
    private void discard(SessionInputBuffer buffer) throws IOException {
        while (buffer.hasData()) {
            buffer.read(discardBuffer.clear());
        }
    }

    private HttpRequest parseHead(SessionInputBuffer buffer) throws IOException, HttpException {
        HttpRequest head;
        boolean isFirstInput;
        synchronized (this) {
            if (closedDuringHead) {
                throw new ConnectionClosedException("closed before the request head was complete");
            }
            head = parser.parse(buffer, false);
            isFirstInput = phase == Phase.IDLE && (head != null || parser.hasPartialHead(buffer));
            if (head != null && phase != Phase.EXCHANGE_OPEN) {
                phase = Phase.HEAD_COMPLETE;
            } else if (isFirstInput) {
                phase = Phase.HEAD_PARTIAL;
            }
        }
        if (isFirstInput && hasAnswered) {
            waitingSince = System.nanoTime();
        }
        return head;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /**
     * Opens the exchange of a request. A request that is sent before the response to the previous one has ended is
     * rejected, and the connection closes with that rejection.
     */
    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
        if (openExchange != null) {
            discardingInput = true;
            discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
            return rejection();
        }
        ServerExchange exchange = exchangeFactory.get();
        openExchange = exchange;
        phase = Phase.EXCHANGE_OPEN;
        exchange.onEnd(this::onExchangeEnded);
        exchange.setInputEndCheck(input::hasEnded);
        if (!hasAnswered) {
            exchange.setArrival(arrival, registeredAt);
        }
        return exchange;
    }

    private ImmediateResponseExchangeHandler rejection() {
        HttpResponse rejection = new BasicHttpResponse(HttpStatus.SC_SERVICE_UNAVAILABLE);
        rejection.setHeader(HttpHeaders.CONNECTION, HeaderElements.CLOSE);
        rejection.setHeader(HttpHeaders.RETRY_AFTER, Seconds.text(limits.retryAfterSeconds()));
        return new ImmediateResponseExchangeHandler(rejection, "one request at a time\n");
    }

    /** Runs while the lock of the exchange's writer is held, and therefore takes no lock. */
    private void onExchangeEnded() {
        waitingSince = System.nanoTime();
        hasAnswered = true;
        phase = Phase.IDLE;
        openExchange = null;
    }

    // ---- Timeouts and closing ----

    /**
     * Whether an exchange has ended on this connection. A client that has received a response is likelier to send
     * another request than a client that has sent none yet.
     */
    boolean hasAnsweredRequest() {
        return hasAnswered;
    }

    /**
     * Returns the seconds for which the connection has waited for a request or for the rest of a request head; negative
     * while a request is open or the connection is being closed.
     */
    double idleSeconds() {
        return openExchange != null || closing ? -1 : secondsWaited();
    }

    private double secondsWaited() {
        return (System.nanoTime() - waitingSince) / NANOS_PER_SECOND;
    }

    /** Closes the connection if the client takes too long to send a request or to read its response. */
    void enforceTimeouts() {
        ServerExchange exchange = openExchange;
        double waitedSeconds = secondsWaited();
        boolean timedOut = waitedSeconds > limits.requestSeconds();
        if (exchange != null) {
            if (timedOut && exchange.expire() || exchange.isStalled(limits.stallSeconds())) {
                session.close(CloseMode.GRACEFUL);
            }
        } else if (timedOut && waitedSeconds < DISCARDED_BODY_TIMEOUT_FACTOR * limits.requestSeconds()) {
            close();
        } else if (timedOut) {
            // Still open because the rest of a rejected body is still arriving.
            session.close(CloseMode.GRACEFUL);
        }
    }

    /** Whether a request was submitted to the dispatcher and its response has not been written in full. */
    boolean isAnswering() {
        ServerExchange exchange = openExchange;
        return exchange != null && exchange.isSubmitted();
    }

    /**
     * Closes the connection when the gateway shuts down: at once if it is idle, after the response if a request is
     * open. The close is needed even then, because the head of that response may already have been sent without
     * {@code Connection: close}. Does nothing while the next head is partly received or its exchange is not open yet;
     * call this until the connection has closed.
     */
    void shutDown() {
        if (!shutdownRequested && (openExchange != null || phase == Phase.IDLE)) {
            shutdownRequested = true;
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** Ends the open request and closes the connection at once, because its I/O thread has failed. */
    void drop() {
        ServerExchange exchange = openExchange;
        if (exchange != null) {
            exchange.disconnect();
        }
        session.close(CloseMode.IMMEDIATE);
    }

    /**
     * Closes the connection if no request is open; a request that has arrived meanwhile is still answered. A partly
     * received head is dropped, unless its rest is being parsed at this moment: if the connection were closed then, the
     * request would be forwarded and its response lost.
     */
    void close() {
        closing = true;
        synchronized (this) {
            closedDuringHead = phase == Phase.HEAD_PARTIAL && openExchange == null;
        }
        if (closedDuringHead) {
            session.close(CloseMode.GRACEFUL);
        } else {
            // The I/O thread runs this command after the request that it is reading.
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }
}

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
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
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
 * One client's connection: its requests one at a time, the time it may take over them, and its end. It sees each head
 * before HttpCore does, and with it the end of the client's input, which HttpCore takes for a graceful shutdown that
 * lets the answer run on, unheard: here a client that closes has disconnected.
 *
 * <p>Threads: the I/O thread calls {@link #parse}, {@link #reset} and {@link #create}; the timer {@link #sweep}; the
 * accepting thread {@link #close} and {@link #idleSeconds}; the shutdown {@link #end}. The object's monitor guards
 * {@code closedAmidHead} and the step by which a head becomes complete, so that a connection is never closed over a
 * request that is being taken at that moment. What else is shared is volatile.
 */
final class ClientConnection implements NHttpMessageParser<HttpRequest>, HandlerFactory<AsyncServerExchangeHandler> {

    /** Bytes that are read at once where they are only discarded. */
    private static final int DISCARD_BUFFER_BYTES = 1024;

    private static final double NANOS_PER_SECOND = 1e9;
    /** Times the bound on a request: so long the rest of a body that was rejected may keep coming. */
    private static final int DISCARDED_BODY_FACTOR = 2;

    /** How far the next request has come. */
    private enum Phase {
        /** Nothing of it is here. */
        IDLE,
        HEAD_PARTIAL,
        /** Its head has been read, its exchange is not open yet. */
        HEAD_COMPLETE,
        EXCHANGE_OPEN
    }

    private final ProtocolIOSession session;
    private final ConnectionArrival arrival;
    private final Limits limits;
    private final Supplier<? extends ServerExchange> exchanges;
    private final MessageHeadParser<HttpRequest> parser;
    /** The request that is open, null while there is none. */
    private volatile ServerExchange openExchange;

    private volatile Phase phase = Phase.IDLE;
    /** Nanoseconds: when it connected, its last answer ended, or the first byte behind that came. */
    private volatile long waitingSince = System.nanoTime();

    private volatile boolean answeredBefore;
    /** When the I/O thread took it up. */
    private final long takenUpAt = System.nanoTime();
    /** Whether it was closed with a part of a head here: the rest no longer counts. */
    private volatile boolean closedAmidHead;
    /** Whether it was told to close, and has not done so yet. */
    private volatile boolean closing;
    /** Whether it was told to end with the program; the shutdown's alone. */
    private boolean endRequested;
    /** Whether a second request was rejected, and all that follows is discarded; the I/O thread's alone. */
    private boolean discardingInput;
    /** What is read to be discarded; allocated by the first who sends without waiting. */
    private ByteBuffer discardBuffer;

    ClientConnection(
            ProtocolIOSession session,
            ConnectionArrival arrival,
            Limits limits,
            Http1Config config,
            Supplier<? extends ServerExchange> exchanges) {
        this.session = session;
        this.arrival = arrival;
        this.limits = limits;
        this.exchanges = exchanges;
        this.parser =
                new MessageHeadParser<>(new DefaultHttpRequestParserFactory(config).create(), limits.headBytes(), 0);
    }

    /** The handler that HttpCore drives this connection with. */
    IOEventHandler handler(HttpProcessor processor, Http1Config config) {
        return new ServerHttp1IOEventHandler(new BoundedChunksDuplexer(processor, config));
    }

    /** HttpCore's protocol on this connection, with this program's reading of heads and chunks. */
    private final class BoundedChunksDuplexer extends ServerHttp1StreamDuplexer {

        BoundedChunksDuplexer(HttpProcessor processor, Http1Config config) {
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
     * The next head, or null where more of it has to come first.
     *
     * @throws ConnectionClosedException where the client has closed, or this side has amid the head
     */
    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
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
     * What was sent without waiting for answers is read and discarded. Were it left unread, the client's end would
     * stand behind it, and the request that was taken would run on unheard.
     */
    private void discard(SessionInputBuffer buffer) throws IOException {
        while (buffer.hasData()) {
            buffer.read(discardBuffer.clear());
        }
    }

    private HttpRequest parseHead(SessionInputBuffer buffer) throws IOException, HttpException {
        HttpRequest head;
        boolean firstBytes;
        synchronized (this) {
            if (closedAmidHead) {
                throw new ConnectionClosedException("closed before the head was whole");
            }
            head = parser.parse(buffer, false);
            firstBytes = phase == Phase.IDLE && (head != null || parser.hasPartialHead(buffer));
            if (head != null && phase != Phase.EXCHANGE_OPEN) {
                phase = Phase.HEAD_COMPLETE;
            } else if (firstBytes) {
                phase = Phase.HEAD_PARTIAL;
            }
        }
        if (firstBytes && answeredBefore) {
            waitingSince = System.nanoTime();
        }
        return head;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /**
     * Opens the exchange of a request. One that does not wait for the answer before it is rejected, and the connection
     * ends with that.
     */
    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
        if (openExchange != null) {
            discardingInput = true;
            discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
            return rejection();
        }
        ServerExchange exchange = exchanges.get();
        openExchange = exchange;
        phase = Phase.EXCHANGE_OPEN;
        exchange.onOver(this::exchangeOver);
        if (!answeredBefore) {
            exchange.cameWith(arrival, takenUpAt);
        }
        return exchange;
    }

    private ImmediateResponseExchangeHandler rejection() {
        HttpResponse rejection = new BasicHttpResponse(HttpStatus.SC_SERVICE_UNAVAILABLE);
        rejection.setHeader(HttpHeaders.CONNECTION, HeaderElements.CLOSE);
        rejection.setHeader(HttpHeaders.RETRY_AFTER, Seconds.text(limits.retryAfterSeconds()));
        return new ImmediateResponseExchangeHandler(rejection, "one request at a time\n");
    }

    /** Runs with the lock of the exchange's writer held, so it takes none. */
    private void exchangeOver() {
        waitingSince = System.nanoTime();
        answeredBefore = true;
        phase = Phase.IDLE;
        openExchange = null;
    }

    // ---- Time and end ----

    /** Whether it has had an answer: a client that has is likelier to come again than one that has said nothing yet. */
    boolean hasBeenAnswered() {
        return answeredBefore;
    }

    /** Seconds for which no request has been open; negative while one is, or while it is being closed. */
    double idleSeconds() {
        return openExchange != null || closing ? -1 : secondsWaited();
    }

    private double secondsWaited() {
        return (System.nanoTime() - waitingSince) / NANOS_PER_SECOND;
    }

    /** Closes it when the client takes too long: to send a request, or to take its answer. */
    void sweep() {
        ServerExchange exchange = openExchange;
        double waited = secondsWaited();
        boolean late = waited > limits.requestSeconds();
        if (exchange != null) {
            if (late && exchange.expire() || exchange.isStalled(limits.stallSeconds())) {
                session.close(CloseMode.GRACEFUL);
            }
        } else if (late && waited < DISCARDED_BODY_FACTOR * limits.requestSeconds()) {
            close();
        } else if (late) {
            // Still here: the rest of a body that was rejected keeps coming.
            session.close(CloseMode.GRACEFUL);
        }
    }

    /** Whether its request was taken and the answer has not been written in full. */
    boolean isAnswering() {
        ServerExchange exchange = openExchange;
        return exchange != null && exchange.isTaken();
    }

    /**
     * Ends it at the program's end: at once where it is idle, with its answer where a request is open, as the head of
     * that answer may have gone out before without telling the client. A head of which a part has come is waited for;
     * to be called until the connection has closed.
     */
    void end() {
        if (!endRequested && (openExchange != null || phase == Phase.IDLE)) {
            endRequested = true;
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /**
     * Ends it where no request is open; one that has come meanwhile is still answered. A part of a head is given up,
     * unless the rest of it is read at this very moment: closed then, its request would be sent on and lost.
     */
    void close() {
        closing = true;
        synchronized (this) {
            closedAmidHead = phase == Phase.HEAD_PARTIAL && openExchange == null;
        }
        if (closedAmidHead) {
            session.close(CloseMode.GRACEFUL);
        } else {
            // A command of the I/O thread: it is obeyed behind the request that is being read.
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }
}

package dunlinladder.transport.http;

import dunlinladder.core.Limits;
import dunlinladder.core.Seconds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
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
 * lets the answer run on, unheard: here a client that closes has gone away.
 */
final class ClientConnection implements NHttpMessageParser<HttpRequest>, HandlerFactory<AsyncServerExchangeHandler> {

    private static final int DROPPED_BYTES = 1024;

    private final ProtocolIOSession session;
    private final Limits limits;
    private final Supplier<? extends ServerExchange> exchanges;
    private final MessageHeadParser<HttpRequest> parser;
    private volatile ServerExchange open;
    /** When it connected, its last answer ended, or the first byte behind that came. */
    private volatile long since = System.nanoTime();

    private volatile boolean answered;
    private volatile boolean begun;
    /** Whether a head has been read whole whose exchange is not open yet. */
    private volatile boolean whole;
    /** Whether it was closed with a part of a head here: the rest no longer counts. */
    private volatile boolean closed;
    /** Whether it was told to end with the program, which one thread does. */
    private boolean ended;

    private boolean refusing;
    /** What is read to be dropped; allocated by the first who sends without waiting. */
    private ByteBuffer dropped;

    ClientConnection(
            ProtocolIOSession session,
            Limits limits,
            Http1Config config,
            Supplier<? extends ServerExchange> exchanges) {
        this.session = session;
        this.limits = limits;
        this.exchanges = exchanges;
        this.parser =
                new MessageHeadParser<>(new DefaultHttpRequestParserFactory(config).create(), limits.headBytes(), 0);
    }

    /** The handler that HttpCore drives this connection with. */
    IOEventHandler handler(HttpProcessor processor, Http1Config config) {
        return new ServerHttp1IOEventHandler(
                new ServerHttp1StreamDuplexer(
                        session,
                        processor,
                        this,
                        "http",
                        config,
                        CharCodingConfig.DEFAULT,
                        null,
                        this,
                        DefaultHttpResponseWriterFactory.INSTANCE.create(),
                        null,
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

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean end) throws IOException, HttpException {
        ServerExchange current = open;
        if (end) {
            if (current != null) {
                current.close();
            }
            throw new ConnectionClosedException("closed by the client");
        }
        if (refusing) {
            // What was sent without waiting for answers is read and dropped. Were it left unread, the
            // client's end would stand behind it, and the request that was taken would run on unheard.
            while (buffer.hasData()) {
                buffer.read(dropped.clear());
            }
            return null;
        }
        HttpRequest head;
        synchronized (this) {
            if (closed) {
                throw new ConnectionClosedException("closed before the head was whole");
            }
            head = parser.parse(buffer, false);
            whole = head != null;
        }
        if (!begun && (head != null || parser.begun(buffer))) {
            begun = true;
            since = answered ? System.nanoTime() : since;
        }
        return head;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    /** A request that does not wait for the answer before it is refused; the connection ends with that. */
    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
        if (open != null) {
            refusing = true;
            dropped = ByteBuffer.allocate(DROPPED_BYTES);
            HttpResponse refusal = new BasicHttpResponse(503);
            refusal.setHeader("Connection", "close");
            refusal.setHeader("Retry-After", Seconds.text(limits.retryAfterSeconds()));
            return new ImmediateResponseExchangeHandler(refusal, "one request at a time\n");
        }
        ServerExchange exchange = exchanges.get();
        open = exchange;
        whole = false;
        exchange.onOver(this::over);
        return exchange;
    }

    /** Runs with the exchange's lock held, so it takes none. */
    private void over() {
        since = System.nanoTime();
        answered = true;
        begun = false;
        open = null;
    }

    /** Seconds for which no request has been open; negative while one is. */
    double idle() {
        return open != null ? -1 : (System.nanoTime() - since) / 1e9;
    }

    /** Closes it when the client takes too long: to send a request, or to take its answer. */
    void sweep() {
        ServerExchange current = open;
        double waited = (System.nanoTime() - since) / 1e9;
        boolean late = waited > limits.requestSeconds();
        if (current == null && late && waited < 2 * limits.requestSeconds()) {
            close();
        } else if (current == null && late) {
            // Still here: the rest of a body that was refused keeps coming.
            session.close(CloseMode.GRACEFUL);
        } else if (current != null && (late && current.expire() || current.stalled(limits.stallSeconds()))) {
            session.close(CloseMode.GRACEFUL);
        }
    }

    /**
     * Ends it at the program's end: at once where it rests, with its answer where a request is open, as the head of
     * that answer may have gone out before and told the client nothing. A head of which a part has come is waited for;
     * to be called until the connection has gone.
     */
    void end() {
        if (!ended && (open != null || !begun)) {
            ended = true;
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /**
     * Ends it where no request is open; one that has come meanwhile is still answered. A part of a head is given up,
     * unless the rest of it is read at this very moment: closed then, its request would be sent on and lost.
     */
    void close() {
        synchronized (this) {
            closed = begun && !whole && open == null;
        }
        if (closed) {
            session.close(CloseMode.GRACEFUL);
        } else {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }
}

package dunlinladder.transport.http;

import dunlinladder.core.Dispatcher;
import dunlinladder.core.Limits;
import dunlinladder.core.Request;
import dunlinladder.core.ResponseSink;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request from a client and its answer: gathers a body up to a limit, then sends either one whole answer or a
 * stream. What is to be written may come from any thread; it is written as the client takes it.
 */
public abstract class ServerExchange implements AsyncServerExchangeHandler {

    private final Dispatcher dispatcher;
    private final BooleanSupplier closing;
    private final int mostBody;
    private final long mostBodies;
    private final AtomicLong bodies;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpRequest request;
    private volatile String requestId;
    private long received;
    private int counted;
    /** Answered or given up before its body was here, which is then read and thrown away. */
    private volatile boolean refused;

    private boolean whole;
    private Runnable onOver = () -> {};
    private ResponseChannel response;
    private HttpContext context;

    private final Queue<Piece> pieces = new ArrayDeque<>();
    private DataStreamChannel out;
    private boolean answered;
    private boolean ending;
    private boolean broken;
    private boolean over;
    private long progressAt;

    private record Piece(ByteBuffer bytes, IntConsumer taken) {}

    /**
     * Creates an exchange; {@code closing} tells whether connections are to close with their answer, {@code bodies}
     * counts the bytes of all bodies that are held.
     */
    protected ServerExchange(Dispatcher dispatcher, Limits limits, BooleanSupplier closing, AtomicLong bodies) {
        this.dispatcher = dispatcher;
        this.closing = closing;
        this.mostBody = limits.bodyBytes();
        this.mostBodies = limits.totalBodyBytes();
        this.bodies = bodies;
    }

    /** Has {@code task} run, without waiting, when the exchange is over. */
    final void onOver(Runnable task) {
        onOver = task;
    }

    /** Gives up a request that is not here in full; false where it is, and then it has been taken. */
    final synchronized boolean expire() {
        refused |= !whole;
        return !whole;
    }

    private synchronized boolean arrive() {
        whole = !refused;
        return whole;
    }

    /** Whether the client has taken nothing of its answer for so long. */
    final synchronized boolean stalled(double seconds) {
        return !pieces.isEmpty() && System.nanoTime() - progressAt > seconds * 1e9;
    }

    /**
     * Has the core take a request, which ends with this exchange; false when its id is in use. One that comes as late
     * as the connections close is refused: where engines hang the kill would find it unanswered.
     */
    protected final boolean take(Request core, ResponseSink client) {
        if (closing.getAsBoolean()) {
            client.reject(0);
            return true;
        }
        requestId = core.id();
        boolean fresh = dispatcher.submit(core, client);
        requestId = fresh ? requestId : null;
        return fresh;
    }

    /** The request is here in full. */
    protected abstract void received(HttpRequest head, byte[] content);

    /** The value of a header, null when it is absent. */
    protected static String header(HttpRequest head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    /** The path of a request without its query. */
    protected static String path(HttpRequest head) {
        String target = head.getRequestUri();
        return target.indexOf('?') < 0 ? target : target.substring(0, target.indexOf('?'));
    }

    /** The body is too long; nothing of it is kept. */
    protected abstract void tooLong();

    /** Final answer: trying again is harmless. */
    public abstract void reject(double retryAfter);

    // ---- Answers ----

    /** Sends a whole answer. */
    protected final void answer(int status, String type, String text, Map<String, String> headers) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        head(status, headers, new BasicEntityDetails(bytes.length, ContentType.parse(type)));
        write(ByteBuffer.wrap(bytes), n -> {});
        finish();
    }

    /** Begins a stream. */
    protected final void open(String type, Map<String, String> headers) {
        head(200, headers, new BasicEntityDetails(-1, ContentType.parse(type)));
    }

    private void head(int status, Map<String, String> headers, EntityDetails entity) {
        synchronized (this) {
            if (answered || over) {
                return;
            }
            answered = true;
        }
        HttpResponse head = new BasicHttpResponse(status);
        headers.forEach(head::setHeader);
        if (closing.getAsBoolean() || refused) {
            head.setHeader("Connection", "close");
        }
        try {
            response.sendResponse(head, entity, context);
        } catch (HttpException | IOException e) {
            failed(e);
        }
    }

    /** Queues bytes; {@code taken} hears how many of them were written, as they are. */
    protected final void write(ByteBuffer bytes, IntConsumer taken) {
        synchronized (this) {
            if (over || ending || broken) {
                return;
            }
            progressAt = pieces.isEmpty() ? System.nanoTime() : progressAt;
            pieces.add(new Piece(bytes, taken));
        }
        flush();
    }

    /** Ends the answer once all is written. */
    protected final void finish() {
        synchronized (this) {
            ending = true;
        }
        flush();
    }

    /** Closes the connection without the last chunk once all is written: the client sees the break. */
    protected final void abort() {
        synchronized (this) {
            broken = true;
        }
        flush();
    }

    private void flush() {
        DataStreamChannel channel;
        synchronized (this) {
            channel = out;
        }
        if (channel != null) {
            channel.requestOutput();
        }
    }

    @Override
    public final synchronized int available() {
        return pieces.isEmpty() && !ending && !broken ? 0 : 1;
    }

    @Override
    public final void produce(DataStreamChannel channel) throws IOException {
        int written = 0;
        boolean wrote = false;
        IntConsumer taken = null;
        do {
            synchronized (this) {
                out = channel;
                Piece piece = pieces.peek();
                if (piece == null) {
                    if (broken && wrote) {
                        // What was just written is only flushed before the next call; closing now loses it.
                        channel.requestOutput();
                        return;
                    }
                    if (broken && !over) {
                        endExchange();
                        throw new ConnectionClosedException("the stream broke");
                    }
                    if (ending && !over) {
                        endExchange();
                        channel.endStream();
                    }
                    return;
                }
                written = channel.write(piece.bytes);
                taken = piece.taken;
                if (!piece.bytes.hasRemaining()) {
                    pieces.remove();
                }
            }
            if (written > 0) {
                wrote = true;
                progressAt = System.nanoTime();
                taken.accept(written);
            }
        } while (written > 0);
    }

    // ---- The request ----

    @Override
    public final void handleRequest(
            HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext exchangeContext)
            throws HttpException, IOException {
        request = head;
        response = channel;
        context = exchangeContext;
        if (entity != null && entity.getContentLength() > mostBody) {
            // Known from the head: a client with 60 MB to send need not send them first.
            refused = true;
            tooLong();
            return;
        }
        if ("100-continue".equalsIgnoreCase(header(head, "Expect"))) {
            channel.sendInformation(new BasicHttpResponse(100), context);
        }
        if (entity == null && arrive()) {
            received(request, new byte[0]);
        }
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    /**
     * What follows a refusal is read for a while all the same: a close midway could lose the answer. The sum of all
     * bodies is bounded, as many clients with long bodies would fill the memory.
     */
    @Override
    public final void consume(ByteBuffer source) throws IOException {
        int size = source.remaining();
        received += size;
        if (!refused && received > mostBody) {
            refused = true;
            tooLong();
        } else if (!refused && !hold(size)) {
            refused = true;
            reject(0);
        }
        if (refused) {
            body.reset();
            source.position(source.limit());
            if (received > 16L * mostBody) {
                throw new ConnectionClosedException("the body has no end");
            }
        } else {
            byte[] bytes = new byte[size];
            source.get(bytes);
            body.write(bytes);
        }
    }

    private synchronized boolean hold(int size) {
        boolean room = !over && bodies.addAndGet(size) <= mostBodies;
        counted += over ? 0 : size;
        return room;
    }

    @Override
    public final void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        if (arrive()) {
            received(request, body.toByteArray());
        }
    }

    @Override
    public final void failed(Exception cause) {
        close();
    }

    @Override
    public final void releaseResources() {
        close();
    }

    private synchronized void endExchange() {
        over = true;
        bodies.addAndGet(-counted);
        counted = 0;
        onOver.run();
    }

    /** Ends the exchange; false when it was over. */
    final boolean close() {
        synchronized (this) {
            if (over) {
                return false;
            }
            endExchange();
            pieces.clear();
        }
        if (requestId != null) {
            dispatcher.clientDisconnected(requestId);
        }
        return true;
    }
}

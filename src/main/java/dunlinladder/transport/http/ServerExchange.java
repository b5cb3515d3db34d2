package dunlinladder.transport.http;

import dunlinladder.core.Dispatcher;
import dunlinladder.core.Limits;
import dunlinladder.core.Request;
import dunlinladder.core.ResponseSink;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request from a client and its answer: has the body gathered up to a limit, then sends either one whole answer or
 * a stream.
 *
 * <p>HttpCore calls it on the connection's I/O thread, and so {@link #requestReceived} and {@link #bodyTooLong} run
 * there. What is to be written may come from any thread. {@link RequestBody} and {@link ResponseWriter} have a lock
 * each; the other fields are set on the I/O thread before the request is handed to the core.
 */
public abstract class ServerExchange implements AsyncServerExchangeHandler {

    /** Seconds of advice that stand for "none": the front's own are given then. */
    private static final double NO_ADVICE = 0;

    private static final long UNKNOWN_LENGTH = -1;

    private final Dispatcher dispatcher;
    private final BooleanSupplier closing;
    private final RequestBody body;
    private final ResponseWriter writer = new ResponseWriter(this::ended);
    private HttpRequest request;
    private ResponseChannel response;
    private HttpContext context;
    private Runnable onOver = () -> {};
    /** Null but for the first request of a connection. */
    private ConnectionArrival arrival;
    /** By {@link System#nanoTime}; of meaning where there is an arrival. */
    private long takenUpAt;

    /** The id of the request that the core has taken, null while it has none. */
    private volatile String requestId;

    /**
     * Creates an exchange.
     *
     * @param closing whether connections are to close with their answer
     * @param totalBodyBytes counts the bytes of all bodies that are held
     */
    protected ServerExchange(Dispatcher dispatcher, Limits limits, BooleanSupplier closing, AtomicLong totalBodyBytes) {
        this.dispatcher = dispatcher;
        this.closing = closing;
        this.body = new RequestBody(limits, totalBodyBytes);
    }

    // ---- What a front adds ----

    /** The request is here in full. */
    protected abstract void requestReceived(HttpRequest head, byte[] content);

    /** The body is too long; nothing of it is kept. */
    protected abstract void bodyTooLong();

    /** Final answer: trying again is harmless; {@code retryAfter} in seconds, 0 for no advice. */
    public abstract void reject(double retryAfter);

    // ---- For the connection ----

    /** Has {@code task} run, without waiting, when the exchange is over. */
    final void onOver(Runnable task) {
        onOver = task;
    }

    /** This is the first request of a connection that came so, and was taken up at {@code takenUp}. */
    final void cameWith(ConnectionArrival connectionArrival, long takenUp) {
        arrival = connectionArrival;
        takenUpAt = takenUp;
    }

    /** Gives up a request that is not here in full; false where it is, and then it has been taken. */
    final boolean expire() {
        return body.expire();
    }

    /** Whether the request is here in full. */
    final boolean isTaken() {
        return requestId != null;
    }

    /** Whether the client has taken nothing of its answer for so long. */
    final boolean isStalled(double seconds) {
        return writer.isStalled(seconds);
    }

    /** Ends the exchange where it is not over: its client has gone, or the connection has failed. */
    final void disconnect() {
        if (writer.cancel() && requestId != null) {
            dispatcher.clientDisconnected(requestId);
        }
    }

    /** Runs once, with the writer's lock held. */
    private void ended() {
        body.release();
        onOver.run();
    }

    // ---- For the fronts: the request ----

    /**
     * Has the core take a request, which ends with this exchange; false when its id is in use. One that comes as late
     * as the connections close is rejected: where engines hang the kill would find it unanswered.
     */
    protected final boolean submit(Request core, ResponseSink client) {
        if (closing.getAsBoolean()) {
            client.reject(NO_ADVICE);
            return true;
        }
        // Known before the core has it, as the client may leave meanwhile.
        requestId = core.id();
        boolean fresh = dispatcher.submit(core, client);
        requestId = fresh ? requestId : null;
        return fresh;
    }

    /** Longest time in seconds since the request, which has just become whole, was sent. */
    protected final double maxSecondsSinceSend() {
        return arrival == null ? 0 : arrival.maxSecondsSinceSend(takenUpAt, System.nanoTime());
    }

    /** The value of a header, null when it is absent. */
    protected static String header(HttpRequest head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    /** The path of a request without its query. */
    protected static String path(HttpRequest head) {
        String target = head.getRequestUri();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    // ---- For the fronts: the answer ----

    /** Sends a whole answer. */
    protected final void answer(int status, String type, String text, Map<String, String> headers) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        sendHead(status, headers, new BasicEntityDetails(bytes.length, ContentType.parse(type)));
        write(ByteBuffer.wrap(bytes), written -> {});
        finish();
    }

    /** Begins a stream. */
    protected final void openStream(String type, Map<String, String> headers) {
        sendHead(HttpStatus.SC_OK, headers, new BasicEntityDetails(UNKNOWN_LENGTH, ContentType.parse(type)));
    }

    private void sendHead(int status, Map<String, String> headers, EntityDetails entity) {
        if (!writer.claimHead()) {
            return;
        }
        HttpResponse head = new BasicHttpResponse(status);
        headers.forEach(head::setHeader);
        if (closing.getAsBoolean() || body.isDiscarded()) {
            head.setHeader(HttpHeaders.CONNECTION, HeaderElements.CLOSE);
        }
        try {
            response.sendResponse(head, entity, context);
        } catch (HttpException | IOException e) {
            failed(e);
        }
    }

    /** Queues bytes; {@code onWritten} hears how many of them were written, as they are. */
    protected final void write(ByteBuffer bytes, IntConsumer onWritten) {
        writer.write(bytes, onWritten);
    }

    /** Ends the answer once all is written. */
    protected final void finish() {
        writer.finish();
    }

    /** Closes the connection without the last chunk once all is written: the client sees the break. */
    protected final void abort() {
        writer.abort();
    }

    // ---- For HttpCore ----

    @Override
    public final void handleRequest(
            HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext exchangeContext)
            throws HttpException, IOException {
        request = head;
        response = channel;
        context = exchangeContext;
        if (entity != null && body.isTooLong(entity.getContentLength())) {
            // Known from the head: a client with 60 MB to send need not send them first.
            body.discard();
            bodyTooLong();
            return;
        }
        if (HeaderElements.CONTINUE.equalsIgnoreCase(header(head, HttpHeaders.EXPECT))) {
            channel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), context);
        }
        if (entity == null && body.complete()) {
            requestReceived(request, new byte[0]);
        }
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public final void consume(ByteBuffer source) throws IOException {
        RequestBody.Admission admission = body.admit(source.remaining());
        if (admission == RequestBody.Admission.TOO_LONG) {
            bodyTooLong();
        } else if (admission == RequestBody.Admission.NO_CAPACITY) {
            reject(NO_ADVICE);
        }
        body.consume(source);
    }

    @Override
    public final void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        if (body.complete()) {
            requestReceived(request, body.content());
        }
    }

    @Override
    public final int available() {
        return writer.available();
    }

    @Override
    public final void produce(DataStreamChannel channel) throws IOException {
        writer.produce(channel);
    }

    @Override
    public final void failed(Exception cause) {
        disconnect();
    }

    @Override
    public final void releaseResources() {
        disconnect();
    }
}

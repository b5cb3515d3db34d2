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
 * One request from a client and its response. Collects the body up to a limit, then sends either a complete response or
 * a stream.
 *
 * <p>HttpCore calls it on the connection's I/O thread, where {@link #requestReceived} and {@link #bodyTooLong}
 * therefore run. Any thread may write the response. {@link RequestBody} and {@link ResponseWriter} have a lock each;
 * the other fields are set on the I/O thread before the request is submitted to the dispatcher.
 */
public abstract class ServerExchange implements AsyncServerExchangeHandler {

    /** The retry advice in seconds that means "no advice"; the front then sends its own value. */
    private static final double NO_ADVICE = 0;

    private static final long UNKNOWN_LENGTH = -1;

    private final Dispatcher dispatcher;
    private final BooleanSupplier closing;
    private final MemoryBudget.Reservation memory;
    private final RequestBody body;
    private final ResponseWriter writer = new ResponseWriter(this::onWriterEnded);
    private HttpRequest request;
    private ResponseChannel response;
    private HttpContext context;
    private Runnable onEnd = () -> {};
    /** Whether the client has closed its connection; any thread may ask. */
    private BooleanSupplier inputEndCheck = () -> false;
    /** Set for the first request of a connection, otherwise null. */
    private ConnectionArrival arrival;
    /** {@link System#nanoTime} at which the I/O thread registered the connection; valid if {@code arrival} is set. */
    private long registeredAt;

    /** The id of the request that was submitted to the dispatcher, null if there is none. */
    private volatile String requestId;

    /**
     * Creates an exchange.
     *
     * @param closing whether connections must close after their response
     * @param requestMemory limits the heap that the data of all requests takes
     */
    protected ServerExchange(
            Dispatcher dispatcher, Limits limits, BooleanSupplier closing, MemoryBudget requestMemory) {
        this.dispatcher = dispatcher;
        this.closing = closing;
        this.memory = requestMemory.open();
        this.body = new RequestBody(limits, memory);
    }

    // ---- Implemented by each front ----

    /** Handles a request that has been received in full. */
    protected abstract void requestReceived(HttpRequest head, byte[] content);

    /** Answers a request whose body is too long; the body is discarded. */
    protected abstract void bodyTooLong();

    /**
     * Sends the final answer that the request was not served and that a retry is harmless.
     *
     * @param retryAfter advised time until a retry in seconds, 0 for no advice
     */
    public abstract void reject(double retryAfter);

    // ---- For the connection ----

    /** Sets the task that runs when the exchange ends; it must not block. */
    final void onEnd(Runnable task) {
        onEnd = task;
    }

    /** Sets the check whether the client has closed its connection; any thread may call it. */
    final void setInputEndCheck(BooleanSupplier check) {
        inputEndCheck = check;
    }

    /**
     * Sets the arrival of the connection, for its first request only.
     *
     * @param connectionRegisteredAt {@link System#nanoTime} at which the I/O thread registered the connection
     */
    final void setArrival(ConnectionArrival connectionArrival, long connectionRegisteredAt) {
        arrival = connectionArrival;
        registeredAt = connectionRegisteredAt;
    }

    /**
     * Gives up a request that has not been received in full. Returns false, without effect, if it has been; it is
     * accepted then.
     */
    final boolean expire() {
        return body.expire();
    }

    /** Whether the request has been submitted to the dispatcher. */
    final boolean isSubmitted() {
        return requestId != null;
    }

    /** Whether response bytes have waited for {@code seconds} without the client reading any. */
    final boolean isStalled(double seconds) {
        return writer.isStalled(seconds);
    }

    /** Ends the exchange, if it has not ended, because the client has gone or the connection has failed. */
    final void disconnect() {
        if (writer.cancel() && requestId != null) {
            dispatcher.clientDisconnected(requestId);
        }
    }

    /**
     * Whether the client has closed its connection. Looks at the connection now, as the I/O thread may not have read
     * the close yet; a client that has left is reported as by {@link #disconnect}. Any thread may call this method.
     */
    public final boolean hasDisconnected() {
        if (!inputEndCheck.getAsBoolean()) {
            return false;
        }
        disconnect();
        return true;
    }

    /** Runs once, while the writer's lock is held. */
    private void onWriterEnded() {
        body.release();
        onEnd.run();
    }

    // ---- For the fronts: the request ----

    /**
     * Submits a request to the dispatcher. The dispatcher is notified if the client disconnects before the response is
     * complete. Returns false if the request's id is in use, or was used and must not run again. A request whose client
     * has already left is dropped, and the result is true: it may have waited with its connection to be accepted. While
     * connections are being closed for a shutdown, the request is rejected instead and the result is true: if the
     * engines hang, the process could be killed before the request is answered.
     */
    protected final boolean submit(Request coreRequest, ResponseSink client) {
        if (closing.getAsBoolean()) {
            client.reject(NO_ADVICE);
            return true;
        }
        if (hasDisconnected()) {
            dispatcher.clientGoneBeforeSubmission(coreRequest.id());
            return true;
        }
        // Set before the request is submitted, because the client may disconnect while it is submitted.
        requestId = coreRequest.id();
        boolean submitted = dispatcher.submit(coreRequest, client);
        requestId = submitted ? requestId : null;
        return submitted;
    }

    /**
     * Changes the heap that is reserved for this request's data, which is the length of its body at first. It is freed
     * when the exchange ends.
     *
     * @return false, without effect, if the data of all requests takes too much, or the exchange has ended
     */
    protected final boolean reserveMemory(long bytes) {
        return memory.resize(bytes);
    }

    /** Returns an upper bound on the seconds since the request, which has just been completed, was sent. */
    protected final double maxSecondsSinceSend() {
        return arrival == null ? 0 : arrival.maxSecondsSinceSend(registeredAt, System.nanoTime());
    }

    /** Returns the value of a header, null if it is absent. */
    protected static String header(HttpRequest head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    /** Returns the path of a request without its query. */
    protected static String path(HttpRequest head) {
        String target = head.getRequestUri();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    // ---- For the fronts: the response ----

    /** Sends a complete response. */
    protected final void answer(int status, String contentType, String text, Map<String, String> headers) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        sendHead(status, headers, new BasicEntityDetails(bytes.length, ContentType.parse(contentType)));
        write(ByteBuffer.wrap(bytes), written -> {});
        finish();
    }

    /** Starts a stream. */
    protected final void openStream(String contentType, Map<String, String> headers) {
        sendHead(HttpStatus.SC_OK, headers, new BasicEntityDetails(UNKNOWN_LENGTH, ContentType.parse(contentType)));
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

    /** Queues bytes; {@code onWritten} gets the number of bytes each time some of them were written. */
    protected final void write(ByteBuffer bytes, IntConsumer onWritten) {
        writer.write(bytes, onWritten);
    }

    /** Ends the response once all queued bytes are written. */
    protected final void finish() {
        writer.finish();
    }

    /**
     * Closes the connection without the last chunk once all queued bytes are written, so that the client sees that the
     * stream is incomplete.
     */
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
            // Answered at once, so that a client with a body of 60 MB need not send it first.
            body.discard();
            bodyTooLong();
            return;
        }
        if (entity != null) {
            body.expect(entity.getContentLength());
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
            requestReceived(request, body.takeContent());
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

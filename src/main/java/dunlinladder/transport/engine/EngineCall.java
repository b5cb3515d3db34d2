package dunlinladder.transport.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.AttemptListener;
import dunlinladder.core.Counter;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.Limits;
import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.Seconds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt on the wire: writes the request, relays the stream and determines the outcome. Nothing is ever sent
 * twice.
 *
 * <p>The request's thread waits in {@link #awaitEndOrStream} and gives the attempt up; {@link OpenStreams} does so once
 * the stream has begun, and any thread may call {@link #cancelAttempt}. HttpCore's I/O thread does everything else,
 * except that an idle connection is used directly by the thread that starts the call. The locks of
 * {@link AttemptProgress}, {@link EngineFlowControl} and {@link EngineExchange} guard the state that these threads
 * share; none of them is acquired here while another one is held. An attempt that is complete or given up gets its
 * outcome before its connection is released; an attempt whose connection failed, or that may no longer start, gets it
 * just after.
 */
final class EngineCall extends EngineExchange implements EngineTransport.Call {

    private static final Logger LOG = LoggerFactory.getLogger(EngineCall.class);

    /**
     * Minimum value of {@code X-Timeout} in seconds; a request whose deadline has already passed is not sent with 0.
     */
    private static final double MIN_TIMEOUT_SECONDS = 0.001;

    private final EngineCallContext context;
    private final Attempt attempt;
    private final EngineRequestFactory requestFactory;
    private final EngineRequest request;
    private final ByteBuffer requestBody;
    private final AttemptProgress progress;
    private final ResponseSink client;
    private final AttemptListener listener;
    private final EngineFlowControl flowControl;
    private final EngineStreamRelay stream;
    private final BoundedResponseBody responseBody;
    /**
     * Written by the I/O thread. Another thread that ends the attempt may see the new value late, as if no response had
     * been received.
     */
    private EngineResponseHead responseHead = EngineResponseHead.NONE;

    /**
     * Prepares a call.
     *
     * @param client receives the events of the stream
     * @param listener receives the progress of the attempt
     */
    EngineCall(EngineCallContext context, Attempt attempt, ResponseSink client, AttemptListener listener) {
        super(context.connections());
        Limits limits = context.limits();
        this.context = context;
        this.attempt = attempt;
        this.requestFactory = (EngineRequestFactory) attempt.request().payload();
        this.request = requestFactory.requestFor(attempt.engine());
        this.requestBody = ByteBuffer.wrap(request.body());
        this.progress = new AttemptProgress(
                context.clock()::now,
                new AttemptProgress.Deadlines(
                        attempt.arrival(), attempt.firstTokenDeadline(), limits.streamSeconds(), limits.eventSeconds()),
                context.openStreams().ends(),
                this::reportOutcome);
        this.client = client;
        this.listener = listener;
        this.flowControl = new EngineFlowControl(this::failed);
        this.stream = new EngineStreamRelay(
                new EventStreamFilter(limits.eventBytes(), request.terminator()),
                flowControl,
                progress,
                client,
                listener);
        this.responseBody = new BoundedResponseBody(limits.responseBytes());
    }

    // ---- Called by the core ----

    @Override
    public Optional<Outcome> awaitEndOrStream() throws InterruptedException {
        while (!progress.awaitEndOrStream()) {
            if (progress.becameOverdue()) {
                listener.confirmationOverdue();
            }
            endIfTimedOut();
        }
        return progress.outcome();
    }

    @Override
    public void onEnd(Consumer<Outcome> task) {
        progress.onEnd(task);
        context.openStreams().add(this);
    }

    /** Ends the attempt if its deadline has passed; returns whether the task of {@link #onEnd} has been passed on. */
    boolean endsOrTimesOut() {
        endIfTimedOut();
        return progress.runEndTask();
    }

    private boolean endIfTimedOut() {
        boolean timedOut = progress.endIfTimedOut();
        if (timedOut) {
            if (progress.isStreaming()) {
                logBroken("the stream did not continue in time");
            }
            closeConnection();
        }
        return timedOut;
    }

    @Override
    public void cancelAttempt() {
        progress.end(Outcome.of(Ending.CANCELLED));
        closeConnection();
    }

    @Override
    public boolean cancelUnlessStreaming() {
        boolean notStreaming = progress.endUnlessStreaming(Outcome.of(Ending.CANCELLED));
        if (notStreaming) {
            closeConnection();
        }
        return notStreaming;
    }

    private void reportOutcome(Outcome outcome, double firstTokenSeconds) {
        requestFactory.attemptEnded(attempt.engine(), outcome, responseHead.status(), firstTokenSeconds);
    }

    // ---- The request ----

    /**
     * Asks the send guard again when a connection is available, because an update that drains the engine also stops an
     * attempt that was decided earlier and waited for a connection. The client may have left meanwhile, too.
     */
    @Override
    boolean mayStart() {
        return context.sendGuard().refusalToSend(attempt, this::isAbandoned).isEmpty();
    }

    private boolean isAbandoned() {
        return client.hasDisconnected() || progress.hasEnded();
    }

    @Override
    void connectionFailed() {
        progress.endBroken();
    }

    @Override
    void exchangeFailed(Exception cause) {
        if (cause instanceof IncompleteStreamException) {
            context.counters().increment(Counter.STREAMS_INCOMPLETE);
        }
        if (!progress.hasEnded()) {
            logBroken(cause.toString());
        }
    }

    private void logBroken(String reason) {
        LOG.info(
                "event=attempt_broken request={} attempt={} engine={} status={} streaming={} reason=\"{}\"",
                attempt.request().id(),
                attempt.number(),
                attempt.engine().id(),
                responseHead.status(),
                progress.isStreaming(),
                reason);
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext httpContext) throws HttpException, IOException {
        if (!mayStart()) {
            // The connection was available earlier, but this thread was scheduled only now. The connection is closed
            // before HttpCore reports the failure, so that the failure is not taken as a reason to suspend the reuse of
            // connections.
            closeConnection();
            throw new ConnectionClosedException("the request must not be sent any more");
        }
        progress.connected();
        BasicHttpRequest head = requestHead();
        if (!requestBody.hasRemaining()) {
            progress.requestWritten();
            listener.requestWritten();
            channel.sendRequest(head, null, httpContext);
        } else {
            channel.sendRequest(head, requestEntity(), httpContext);
        }
    }

    private BasicHttpRequest requestHead() {
        BasicHttpRequest head = new BasicHttpRequest(request.method(), request.target());
        head.setAuthority(EngineAddress.authority(attempt.engine()));
        head.setHeader("X-Request-ID", attempt.request().id());
        double remainingSeconds = attempt.firstTokenDeadline() - context.clock().now();
        head.setHeader("X-Timeout", Seconds.text(Math.max(MIN_TIMEOUT_SECONDS, remainingSeconds)));
        return head;
    }

    private EntityDetails requestEntity() {
        String contentType = request.contentType();
        return new BasicEntityDetails(
                requestBody.remaining(), contentType == null ? null : ContentType.parseLenient(contentType));
    }

    @Override
    public int available() {
        return requestBody.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (!progress.beginWrite()) {
            // The attempt was given up in the meantime and may count as never sent, so its last byte must not be sent.
            throw new ConnectionClosedException("the attempt was given up before its request was sent");
        }
        try {
            channel.write(requestBody);
        } finally {
            if (requestBody.hasRemaining()) {
                progress.requestIncomplete();
            }
        }
        if (!requestBody.hasRemaining()) {
            listener.requestWritten();
            channel.endStream();
        }
    }

    // ---- The response ----

    @Override
    void responseHead(HttpResponse response, EntityDetails entity) throws HttpException {
        progress.confirmed();
        listener.confirmed();
        responseHead = EngineResponseHead.of(response);
        if (responseHead.isStream() && entity != null && !entity.isChunked() && entity.getContentLength() < 0) {
            // The end of such a stream could not be distinguished from a broken connection.
            throw new ProtocolException("the event stream has neither chunks nor a length");
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        flowControl.open(channel);
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        if (responseHead.isStream()) {
            stream.receive(source);
            return;
        }
        int size = source.remaining();
        responseBody.add(source);
        flowControl.grant(size);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        if (responseHead.isStream()) {
            stream.end();
            progress.end(
                    responseHead.streamOutcome(progress.isStreaming(), stream.cachedTokens(), stream.loadReport()));
        } else {
            progress.end(responseHead.outcome(responseBody.text(), requestFactory));
        }
        returnConnection();
    }
}

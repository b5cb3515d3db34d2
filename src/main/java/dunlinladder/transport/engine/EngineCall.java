package dunlinladder.transport.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.Clock;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.Limits;
import dunlinladder.core.Outcome;
import dunlinladder.core.Outcome.Ending;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.Seconds;
import dunlinladder.core.SendGuard;
import dunlinladder.transport.json.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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

/** One attempt on the wire. */
final class EngineCall extends EngineExchange implements EngineTransport.Call {

    /** How far it has come; what a break proves depends on it. */
    private enum Phase {
        SENDING,
        SENT,
        STREAMING
    }

    private final Attempt attempt;
    private final EngineRequestFactory outgoing;
    private final EngineRequest forward;
    private final double startedAt;
    private double firstAt = Double.NaN;
    private final ResponseSink client;
    private final Runnable first;
    private final SendGuard gate;
    private final Clock clock;
    private final ByteBuffer body;
    private final Limits limits;
    private final EventStreamFilter events;
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream(64);
    private final CompletableFuture<Outcome> done = new CompletableFuture<>();
    private Phase phase = Phase.SENDING;
    private int status;
    private boolean notRun;
    private Map<String, Double> report = Map.of();
    private CapacityChannel capacity;
    private int credit;
    private int untaken;
    private double heardAt;

    EngineCall(
            EngineConnectionPool connections,
            SendGuard gate,
            Clock clock,
            Limits limits,
            Attempt attempt,
            ResponseSink client,
            Runnable first) {
        super(connections);
        this.attempt = attempt;
        this.outgoing = (EngineRequestFactory) attempt.request().payload();
        this.forward = outgoing.requestFor(attempt.engine());
        this.startedAt = clock.now();
        this.client = client;
        this.first = first;
        this.gate = gate;
        this.clock = clock;
        this.body = ByteBuffer.wrap(forward.body());
        this.limits = limits;
        this.events = new EventStreamFilter(limits.eventBytes());
    }

    // ---- The core's side ----

    @Override
    public Outcome await() throws InterruptedException {
        while (true) {
            double left = waitsUntil() - clock.now();
            try {
                // The bound moves when the stream begins and with each event: it is looked at now and then.
                return done.get(
                        (long) (Math.max(0, Math.min(left, limits.streamSeconds() / 8)) * 1e9), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                giveUpIfDue();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * Until its stream begins, as long as the attempt may take. From then on an engine that is silent would hold its
     * client for good; it is not silent while the client has not taken what came.
     */
    private synchronized double waitsUntil() {
        return phase != Phase.STREAMING
                ? attempt.firstTokenDeadline()
                : (untaken > 0 ? clock.now() : heardAt) + limits.streamSeconds();
    }

    private void giveUpIfDue() {
        synchronized (this) {
            if (clock.now() < waitsUntil()) {
                return;
            }
            settle(Outcome.of(
                    switch (phase) {
                        case SENDING -> Ending.CONNECT_FAILED;
                        case SENT -> Ending.TIMEOUT;
                        case STREAMING -> Ending.RESET;
                    }));
        }
        closeConnection();
    }

    @Override
    public void abandon() {
        settle(Outcome.of(Ending.CANCELLED));
        closeConnection();
    }

    private synchronized void settle(Outcome outcome) {
        if (!done.isDone()) {
            outgoing.attemptEnded(attempt.engine(), outcome, status, firstAt - startedAt);
            done.complete(outcome);
        }
    }

    // ---- The engine's side ----

    /** News that the engine drains also stops what was decided before it and waited for a connection. */
    @Override
    boolean mayStart() {
        return gate.allows(attempt.engine());
    }

    /** Only what breaks before the request's last byte is written has certainly not run. */
    @Override
    synchronized void connectionFailed() {
        settle(Outcome.of(phase == Phase.SENDING ? Ending.CONNECT_FAILED : Ending.RESET));
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (done.isDone()) {
            throw new ConnectionClosedException("given up before it was sent");
        }
        if (!mayStart()) {
            // The connection was there, yet this thread came to it only now. Its end is our own doing and
            // says nothing of kept connections.
            closeConnection();
            throw new ConnectionClosedException("the engine drains");
        }
        BasicHttpRequest request = new BasicHttpRequest(forward.method(), forward.target());
        request.setAuthority(EngineAddress.authority(attempt.engine()));
        request.setHeader("X-Request-ID", attempt.request().id());
        request.setHeader("X-Timeout", Seconds.text(Math.max(0.001, attempt.firstTokenDeadline() - clock.now())));
        boolean empty = !body.hasRemaining();
        if (empty) {
            sent();
        }
        channel.sendRequest(
                request,
                empty
                        ? null
                        : new BasicEntityDetails(
                                body.remaining(),
                                forward.contentType() == null ? null : ContentType.parseLenient(forward.contentType())),
                context);
    }

    @Override
    public int available() {
        return body.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        synchronized (this) {
            // Given up meanwhile as never sent: its last byte must not go out behind that.
            if (done.isDone()) {
                throw new ConnectionClosedException("given up before it was sent");
            }
            phase = Phase.SENT;
        }
        try {
            channel.write(body);
        } finally {
            if (body.hasRemaining()) {
                unsent();
            }
        }
        if (!body.hasRemaining()) {
            channel.endStream();
        }
    }

    private synchronized void unsent() {
        phase = phase == Phase.SENT ? Phase.SENDING : phase;
    }

    private synchronized void sent() {
        phase = phase == Phase.SENDING ? Phase.SENT : phase;
    }

    @Override
    void responseHead(HttpResponse response, EntityDetails entity) throws HttpException {
        sent();
        status = response.getCode();
        if (status == 200 && entity != null && !entity.isChunked() && entity.getContentLength() < 0) {
            // Its end could not be told from a break.
            throw new ProtocolException("a stream without chunks");
        }
        notRun = response.containsHeader("X-Not-Processed");
        Header load = response.getFirstHeader(EngineReportReader.LOAD_HEADER);
        report = EngineReportReader.loadReport(load == null ? null : load.getValue());
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        int given;
        synchronized (this) {
            capacity = channel;
            given = credit;
            credit = 0;
        }
        if (given > 0) {
            channel.update(given);
        }
    }

    /** The client has taken bytes: the engine may send as many more. */
    private void taken(int bytes) {
        CapacityChannel channel;
        synchronized (this) {
            channel = capacity;
            credit += channel == null ? bytes : 0;
        }
        try {
            if (channel != null && bytes > 0) {
                channel.update(bytes);
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        int size = source.remaining();
        if (status != 200) {
            for (int room = limits.responseBytes() - answer.size(); room > 0 && source.hasRemaining(); room--) {
                answer.write(source.get());
            }
            source.position(source.limit());
            taken(size);
            return;
        }
        int held = events.pendingBytes();
        try {
            ByteBuffer whole = events.add(source);
            // What waits for the rest of its event is not the client's to take.
            taken(size - Math.max(0, whole.remaining() - held));
            pass(whole, held);
        } catch (InvalidInputException e) {
            throw new IOException("the stream is spoilt: " + e.getMessage());
        }
    }

    /** Passes whole events on; {@code credited} of their bytes have been taken off the engine's window. */
    private void pass(ByteBuffer whole, int credited) {
        if (!whole.hasRemaining()) {
            return;
        }
        boolean begins;
        synchronized (this) {
            if (done.isDone()) {
                return;
            }
            begins = phase != Phase.STREAMING;
            firstAt = begins ? clock.now() : firstAt;
            phase = Phase.STREAMING;
            heardAt = clock.now();
            untaken += whole.remaining();
        }
        if (begins) {
            first.run();
        }
        int[] ahead = {credited};
        client.writeEvents(whole, n -> {
            synchronized (this) {
                untaken -= n;
                heardAt = clock.now();
            }
            int covered = Math.min(ahead[0], n);
            ahead[0] -= covered;
            taken(n - covered);
        });
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        String text = answer.toString(StandardCharsets.UTF_8);
        switch (status) {
            case 200 -> served();
            case 202 -> settle(new Outcome(Ending.PREFILLED, EngineReportReader.cachedTokensOfPrefill(text), report));
            case 410 -> settle(Outcome.kvCacheMissing(report));
            case 503, 504 -> settle(new Outcome(notRun ? Ending.FULL : Ending.ERROR, 0, report));
            default ->
                settle(new Outcome(outgoing.isRejection(status, text) ? Ending.REJECTED : Ending.ERROR, 0, report));
        }
        returnConnection();
    }

    private void served() throws IOException {
        try {
            int held = events.pendingBytes();
            pass(events.end(), held);
        } catch (InvalidInputException e) {
            throw new IOException("the stream is spoilt: " + e.getMessage());
        }
        settle(
                phase != Phase.STREAMING
                        ? Outcome.of(Ending.RESET)
                        : new Outcome(
                                Ending.OK, events.cachedTokens(), report.isEmpty() ? events.loadReport() : report));
    }
}

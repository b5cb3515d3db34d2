package dunlinladder.transport.engine;

import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

/** One request on one outgoing connection: takes a connection, and gives it back or closes it at the end. */
abstract class EngineExchange implements AsyncClientExchangeHandler, EngineConnectionPool.Waiting {

    private final EngineConnectionPool connections;
    private PoolEntry<HttpHost, IOSession> entry;
    private boolean kept;
    private boolean answered;
    private boolean over;
    private boolean closing;

    EngineExchange(EngineConnectionPool connections) {
        this.connections = connections;
    }

    final void start(String address) {
        connections.lease(address, this);
    }

    /** Whether it may still be sent, asked when the connection is there. */
    abstract boolean mayStart();

    /** The connection broke or never came up. */
    abstract void broken();

    @Override
    public final void connected(PoolEntry<HttpHost, IOSession> leased, boolean reused) {
        kept = reused;
        boolean unwanted;
        synchronized (this) {
            unwanted = over;
            entry = leased;
        }
        if (unwanted) {
            connections.giveBack(leased);
        } else if (mayStart()) {
            leased.getConnection()
                    .enqueue(new RequestExecutionCommand(this, HttpCoreContext.create()), Command.Priority.NORMAL);
            if (!leased.getConnection().isOpen()) {
                // A command queued on a session that has just closed may never be looked at.
                failed(new IOException("closed before the request"));
            }
        } else {
            finish(true);
            broken();
        }
    }

    @Override
    public final void notConnected() {
        finish(false);
        broken();
    }

    /** Lets the connection go, once; {@code clean} when the next request may use it. */
    final void finish(boolean clean) {
        PoolEntry<HttpHost, IOSession> done;
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            done = entry;
        }
        if (done != null && clean && !closing) {
            connections.giveBack(done);
        } else if (done != null) {
            connections.drop(done);
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim answers say nothing here.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        answered = true;
        closing = response.containsHeader("Connection")
                && "close".equalsIgnoreCase(response.getHeader("Connection").getValue());
        head(response, entity);
        if (entity == null) {
            streamEnd(null);
        }
    }

    /** The answer's head. */
    abstract void head(HttpResponse response, EntityDetails entity) throws HttpException;

    @Override
    public int available() {
        return 0;
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        // No body.
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        source.position(source.limit());
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        finish(true);
    }

    @Override
    public final void failed(Exception cause) {
        boolean ended;
        synchronized (this) {
            ended = over;
        }
        // What was given up here, or an answer that can't be read, says nothing of kept connections.
        if (!ended
                && kept
                && !answered
                && (cause instanceof SocketException || cause instanceof ConnectionClosedException)) {
            connections.distrust();
        }
        finish(false);
        broken();
    }

    @Override
    public final void cancel() {
        failed(null);
    }

    @Override
    public void releaseResources() {
        // Nothing beside the connection, which finish lets go.
    }
}

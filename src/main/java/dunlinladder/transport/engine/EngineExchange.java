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

/**
 * One request on one outgoing connection. Leases a connection and, at the end, returns or closes it, once.
 *
 * <p>The lock of this object guards the leased connection and whether it has been released, because a connection may be
 * established on HttpCore's I/O thread while another thread gives the exchange up. The other fields are used by the I/O
 * thread only, except that an idle connection is handed over by the thread that calls {@link #start}.
 */
abstract class EngineExchange implements AsyncClientExchangeHandler, LeaseCallback {

    private final EngineConnectionPool connections;
    private PoolEntry<HttpHost, EngineConnection> connection;
    private boolean released;
    private boolean reusedConnection;
    private boolean responseStarted;
    private boolean closeAnnounced;

    /** Prepares an exchange that leases its connection from {@code connections}. */
    EngineExchange(EngineConnectionPool connections) {
        this.connections = connections;
    }

    /** Leases a connection to {@code address}, and sends the request when the connection is available. */
    final void start(String address) {
        connections.lease(address, this);
    }

    // ---- Implemented by subclasses ----

    /** Whether the request may still be sent; called when the connection is available. */
    abstract boolean mayStart();

    /**
     * Reports that the connection broke, could not be established or was closed here; may also be called after a normal
     * end.
     */
    abstract void connectionFailed();

    /** Reports why the exchange failed, unless it was ended here; {@link #connectionFailed} follows. */
    void exchangeFailed(Exception cause) {
        // Releases need no reason.
    }

    /** Reports that the head of the final response was received. */
    abstract void responseHead(HttpResponse response, EntityDetails entity) throws HttpException;

    // ---- The connection ----

    @Override
    public final void connected(PoolEntry<HttpHost, EngineConnection> leased, boolean reused) {
        reusedConnection = reused;
        boolean alreadyReleased;
        synchronized (this) {
            alreadyReleased = released;
            connection = leased;
        }
        if (alreadyReleased) {
            connections.giveBack(leased);
        } else if (mayStart()) {
            send(leased.getConnection().session());
        } else {
            returnConnection();
            connectionFailed();
        }
    }

    private void send(IOSession session) {
        session.enqueue(new RequestExecutionCommand(this, HttpCoreContext.create()), Command.Priority.NORMAL);
        if (!session.isOpen()) {
            // A command that is queued on a session that has just closed may never be processed.
            abort();
        }
    }

    @Override
    public final void notConnected() {
        abort();
    }

    /** Returns the connection for reuse unless the engine has announced that it closes it. */
    final void returnConnection() {
        release(!closeAnnounced);
    }

    /** Closes the connection, even if it carries a request. */
    final void closeConnection() {
        release(false);
    }

    /** Closes the connection and reports it as failed. */
    final void abort() {
        closeConnection();
        connectionFailed();
    }

    private void release(boolean reusable) {
        PoolEntry<HttpHost, EngineConnection> leased;
        synchronized (this) {
            if (released) {
                return;
            }
            released = true;
            leased = connection;
        }
        if (leased == null) {
            // No connection is established yet; connected() returns it later.
            return;
        }
        if (reusable) {
            connections.giveBack(leased);
        } else {
            connections.discard(leased);
        }
    }

    private synchronized boolean isReleased() {
        return released;
    }

    // ---- Called by HttpCore ----

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim responses are ignored.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        responseStarted = true;
        closeAnnounced = response.containsHeader("Connection")
                && "close".equalsIgnoreCase(response.getHeader("Connection").getValue());
        responseHead(response, entity);
        if (entity == null) {
            streamEnd(List.of());
        }
    }

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
        returnConnection();
    }

    @Override
    public final void failed(Exception cause) {
        if (showsStaleConnection(cause)) {
            connections.suspendReuse();
        }
        if (!isReleased()) {
            exchangeFailed(cause);
        }
        abort();
    }

    /**
     * Whether a reused connection broke during its next request. A connection that was closed here, or a response that
     * cannot be parsed, is not evidence against reusing connections.
     */
    private boolean showsStaleConnection(Exception cause) {
        return !isReleased()
                && reusedConnection
                && !responseStarted
                && (cause instanceof SocketException || cause instanceof ConnectionClosedException);
    }

    @Override
    public final void cancel() {
        abort();
    }

    @Override
    public void releaseResources() {
        // The connection is the only resource, and it is released separately.
    }
}

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
 * One request on one outgoing connection: leases a connection, and gives it back or closes it at the end, once.
 *
 * <p>The lock of this object guards the leased connection and whether it has been let go, since a connection may come
 * up on HttpCore's I/O thread while another thread gives the exchange up. The remaining fields belong to the I/O
 * thread, except that a connection that is free at once is handed over by the thread that calls {@link #start}.
 */
abstract class EngineExchange implements AsyncClientExchangeHandler, LeaseCallback {

    private final EngineConnectionPool connections;
    private PoolEntry<HttpHost, EngineConnection> connection;
    private boolean released;
    private boolean reusedConnection;
    private boolean responseStarted;
    private boolean closeAnnounced;

    /** Prepares an exchange that takes its connection from {@code connections}. */
    EngineExchange(EngineConnectionPool connections) {
        this.connections = connections;
    }

    /** Leases a connection to {@code address}, and sends the request when it is there. */
    final void start(String address) {
        connections.lease(address, this);
    }

    // ---- What the kinds of exchange add ----

    /** Whether the request may still be sent, asked when the connection is there. */
    abstract boolean mayStart();

    /** The connection broke, never came up or was closed here; called also after an orderly end. */
    abstract void connectionFailed();

    /** The head of the final response has come. */
    abstract void responseHead(HttpResponse response, EntityDetails entity) throws HttpException;

    // ---- The connection ----

    @Override
    public final void connected(PoolEntry<HttpHost, EngineConnection> leased, boolean reused) {
        reusedConnection = reused;
        boolean unwanted;
        synchronized (this) {
            unwanted = released;
            connection = leased;
        }
        if (unwanted) {
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
            // A command queued on a session that has just closed may never be looked at.
            abort();
        }
    }

    @Override
    public final void notConnected() {
        abort();
    }

    /** Gives the connection back for reuse, unless the engine has announced that it closes it. */
    final void returnConnection() {
        release(!closeAnnounced);
    }

    /** Closes the connection, whatever it carries. */
    final void closeConnection() {
        release(false);
    }

    /** Closes the connection and has the exchange end as one whose connection failed. */
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
            // None has come up; connected() gives it back when it does.
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

    // ---- HttpCore's side ----

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim responses say nothing here.
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
        abort();
    }

    /**
     * Whether a reused connection broke under its next request. What was given up here, or a response that can't be
     * read, says nothing of reused connections.
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
        // There are none beside the connection, which has its own end.
    }
}

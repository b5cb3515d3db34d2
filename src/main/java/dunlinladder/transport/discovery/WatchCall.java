package dunlinladder.transport.discovery;

import dunlinladder.membership.WatchCommand;
import dunlinladder.membership.WatchEvent;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.json.JsonObjectStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call to discovery on its own connection, read by its own thread until the call ends or is cancelled. Every event
 * is reported to a {@link Listener} on that thread.
 */
final class WatchCall implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(WatchCall.class);
    private static final int MILLIS_PER_SECOND = 1000;
    /** Path that watches discovery's list: the response continues with each update. */
    private static final String PATH = "/discovery/hosts?follow=1&since=";

    /** Receives the events of a call. */
    interface Listener {

        /** Reports that the connection is established or that something was received. */
        void received(WatchEvent event);

        /** Reports that the call has ended; no event follows. */
        void ended(WatchCall call, WatchEvent event);
    }

    private final WatchCommand.Open command;
    private final EndpointListReader reader;
    private final int connectTimeoutMillis;
    private final Listener listener;
    private final Socket socket = new Socket();
    private volatile boolean cancelled;

    WatchCall(WatchCommand.Open command, EndpointListReader reader, double connectTimeoutSeconds, Listener listener) {
        this.command = command;
        this.reader = reader;
        this.connectTimeoutMillis = (int) (connectTimeoutSeconds * MILLIS_PER_SECOND);
        this.listener = listener;
    }

    /** Returns the number of the connection. */
    int id() {
        return command.connection();
    }

    /** Ends the call; the failure that this causes is not logged. */
    void cancel() {
        cancelled = true;
        close();
    }

    /** Closes the connection, which ends the work of the reading thread. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debug("event=discovery_close_failed address={} reason={}", command.address(), e.toString());
        }
    }

    /** Whether received bytes are not read yet. */
    boolean hasUnreadBytes() {
        try {
            return socket.isConnected()
                    && !socket.isClosed()
                    && socket.getInputStream().available() > 0;
        } catch (IOException e) {
            // The connection is being closed, so nothing more will be read from it.
            return false;
        }
    }

    @Override
    public void run() {
        WatchEvent end = new WatchEvent.Closed(id());
        try {
            watch();
            LOG.info("event=discovery_watch_ended address={}", command.address());
        } catch (IOException | HttpException e) {
            if (!cancelled) {
                LOG.warn("event=discovery_call_failed address={} reason={}", command.address(), e.toString());
            }
        } catch (InvalidInputException e) {
            LOG.warn("event=discovery_unreadable address={} reason={}", command.address(), e.getMessage());
            end = new WatchEvent.UnreadableUpdate(id());
        } catch (RuntimeException | OutOfMemoryError e) {
            // The end of this thread must be reported after any failure: without its connection the list would never be
            // updated again.
            LOG.error("event=discovery_error address={}", command.address(), e);
            end = new WatchEvent.UnreadableUpdate(id());
        } finally {
            listener.ended(this, end);
        }
    }

    private void watch() throws IOException, HttpException {
        try (DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(null)) {
            socket.setTcpNoDelay(true);
            socket.connect(address(), connectTimeoutMillis);
            connection.bind(socket);
            sendRequest(connection);
            listener.received(new WatchEvent.Connected(id()));
            ClassicHttpResponse response = connection.receiveResponseHeader();
            if (response.getCode() != HttpStatus.SC_OK) {
                throw new IOException("unexpected status " + response.getCode());
            }
            listener.received(new WatchEvent.AnswerReceived(id()));
            connection.receiveResponseEntity(response);
            readUpdates(response);
        }
    }

    private InetSocketAddress address() {
        String address = command.address();
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void sendRequest(DefaultBHttpClientConnection connection) throws IOException, HttpException {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", PATH + command.since());
        request.setHeader("Host", command.address());
        connection.sendRequestHeader(request);
        connection.flush();
    }

    private void readUpdates(ClassicHttpResponse response) throws IOException {
        JsonObjectStream lists = new JsonObjectStream(
                response.getEntity().getContent(), () -> listener.received(new WatchEvent.Heartbeat(id())));
        for (JsonObject list = lists.next(); list != null; list = lists.next()) {
            listener.received(new WatchEvent.UpdateReceived(id(), reader.read(list, false)));
        }
    }
}

package dunlinladder.it;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** Keeps the listen queue of a listener full, so that further connections to it never come up. */
final class FullListenQueue implements AutoCloseable {

    private final ServerSocket listener;
    private final int connectTimeoutMillis;
    private final List<Socket> queued = new ArrayList<>();

    /** Fills the queue; one more connection does not come up within {@code connectTimeoutMillis}. */
    FullListenQueue(ServerSocket listener, int connectTimeoutMillis) throws IOException {
        this.listener = listener;
        this.connectTimeoutMillis = connectTimeoutMillis;
        while (connects()) {
            // One more is in the queue.
        }
    }

    private boolean connects() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(listener.getLocalSocketAddress(), connectTimeoutMillis);
            queued.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    /** Ends the connections that fill it. */
    @Override
    public void close() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
    }
}

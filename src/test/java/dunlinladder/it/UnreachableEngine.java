package dunlinladder.it;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** An address to which connections never come up, as behind a network cut: its listen queue is full for good. */
final class UnreachableEngine implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queued = new ArrayList<>();

    UnreachableEngine() throws IOException {
        while (connects()) {
            // One more is in the queue.
        }
    }

    private boolean connects() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
            queued.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
        listener.close();
    }
}

package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A link to a server, as a proxy on a free loopback port, that can fall silent under its connections: what is written
 * then is accepted and does not arrive until the link is restored, nor do ends of connections. Safe for use by several
 * threads.
 */
final class FaultyLink implements AutoCloseable {

    private static final int LISTEN_QUEUE = 1;
    private static final int CONNECT_TIMEOUT_MILLIS = 100;
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_FILLERS = 8;

    /** The ways of bytes through a link. */
    enum Direction {
        TO_SERVER,
        FROM_SERVER
    }

    private final InetSocketAddress server;
    private final ServerSocket listener = new ServerSocket(0, LISTEN_QUEUE, InetAddress.getLoopbackAddress());
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    /** Connections that keep the listen queue full while the link is cut. */
    private final List<Socket> fillers = new ArrayList<>();
    /** Both guarded by this object's monitor. */
    private final Set<Direction> silent = ConcurrentHashMap.newKeySet();

    private boolean accepting = true;
    private volatile double delaySeconds;

    FaultyLink(int serverPort) throws IOException {
        server = new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort);
        start(this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Connections come up, and nothing arrives in these directions. */
    synchronized void fallSilent(Set<Direction> directions) {
        silent.addAll(directions);
    }

    /** Nothing arrives in either direction, and new connections never come up. */
    void cutOff() throws IOException {
        synchronized (this) {
            silent.addAll(Set.of(Direction.values()));
            accepting = false;
        }
        while (fillers.size() < MAX_FILLERS && fillListenQueue()) {
            // One more is in the queue.
        }
    }

    private boolean fillListenQueue() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
            fillers.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    /** The open connections fall silent, those that come are sound. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    /** All that was written meanwhile arrives. */
    void restore() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        synchronized (this) {
            silent.clear();
            accepting = true;
            connections.forEach(connection -> connection.silent = false);
            notifyAll();
        }
    }

    /** Bytes take so long from now on. */
    void setDelay(double seconds) {
        delaySeconds = seconds;
    }

    private synchronized void awaitAccepting() throws InterruptedException {
        while (!accepting) {
            wait();
        }
    }

    private synchronized void awaitPassage(Connection connection, Direction direction) throws InterruptedException {
        while (connection.silent || silent.contains(direction)) {
            wait();
        }
    }

    private void acceptAll() throws IOException, InterruptedException {
        while (true) {
            awaitAccepting();
            Socket client = listener.accept();
            Connection connection = new Connection(client);
            connections.add(connection);
            start(connection::open);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // A side has closed the connection, or the link was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** One connection from a client through the link. */
    private final class Connection {
        private final Socket client;
        private final Socket onward = new Socket();
        private volatile boolean silent;

        Connection(Socket client) {
            this.client = client;
        }

        void open() throws IOException, InterruptedException {
            client.setTcpNoDelay(true);
            awaitPassage(this, Direction.TO_SERVER);
            try {
                onward.connect(server);
            } catch (IOException e) {
                reset(client);
                return;
            }
            onward.setTcpNoDelay(true);
            start(() -> pass(onward, client, Direction.FROM_SERVER));
            pass(client, onward, Direction.TO_SERVER);
        }

        private void pass(Socket from, Socket to, Direction direction) throws InterruptedException {
            try {
                copy(from.getInputStream(), to.getOutputStream(), direction);
                awaitPassage(this, direction);
                to.shutdownOutput();
            } catch (IOException e) {
                awaitPassage(this, direction);
                reset(to);
                reset(from);
                connections.remove(this);
            }
        }

        private void copy(InputStream in, OutputStream out, Direction direction)
                throws IOException, InterruptedException {
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
                SoakFaults.pause(delaySeconds);
                awaitPassage(this, direction);
                out.write(buffer, 0, size);
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
        connections.forEach(connection -> {
            reset(connection.client);
            reset(connection.onward);
        });
    }
}

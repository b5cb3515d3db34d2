package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A link to a server, as a proxy on a free loopback port, that can fall silent under its connections: what is written
 * then is accepted and does not arrive until the link is restored, nor do ends of connections. Safe for use by several
 * threads.
 */
final class FaultyLink implements AutoCloseable {

    private static final int LISTEN_QUEUE = 1;
    private static final int CONNECT_TIMEOUT_MILLIS = 100;
    private static final int BUFFER_BYTES = 4096;

    /** The ways of bytes through a link. */
    enum Direction {
        TO_SERVER,
        FROM_SERVER
    }

    /** Told of attempts that pass, by their ids. */
    interface Observer {

        /** An attempt has come to the server's machine; {@code timeout} is what it states, in seconds. */
        default void sent(String id, double timeout) {}

        /** The first byte of its answer has left for the client. */
        default void answered(String id) {}

        /** The client has closed the connection of an attempt before that. */
        default void givenUp(String id) {}
    }

    private static final Pattern ATTEMPT =
            Pattern.compile("X-Request-ID: ([0-9a-f]+)\r\n.*?X-Timeout: ([0-9.]+)\r\n", Pattern.DOTALL);
    private static final int MAX_REMEMBERED_CHARACTERS = 2048;
    /** Stand behind the last bytes of a client. */
    private static final byte[] ORDERLY_END = {};

    private static final byte[] RESET = {};

    private final InetSocketAddress server;
    private final Observer observer;
    private final ServerSocket listener = new ServerSocket(0, LISTEN_QUEUE, InetAddress.getLoopbackAddress());
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    /** Of the thread that brings faults about; there while the link is cut. */
    private Optional<FullListenQueue> fullQueue = Optional.empty();
    /** Both guarded by this object's monitor. */
    private final Set<Direction> silent = ConcurrentHashMap.newKeySet();

    private boolean accepting = true;
    private volatile double delaySeconds;

    FaultyLink(int serverPort) throws IOException {
        this(serverPort, new Observer() {});
    }

    FaultyLink(int serverPort, Observer observer) throws IOException {
        this.observer = observer;
        server = new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort);
        SocketTask.start(this::acceptAll);
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
        fullQueue = Optional.of(new FullListenQueue(listener, CONNECT_TIMEOUT_MILLIS));
    }

    /** The open connections fall silent, those that come are sound. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    /** All that was written meanwhile arrives. */
    void restore() throws IOException {
        emptyListenQueue();
        synchronized (this) {
            silent.clear();
            accepting = true;
            connections.forEach(connection -> connection.silent = false);
            notifyAll();
        }
    }

    private void emptyListenQueue() throws IOException {
        if (fullQueue.isPresent()) {
            fullQueue.get().close();
        }
        fullQueue = Optional.empty();
    }

    /** Bytes take so long from now on. */
    void setDelay(double seconds) {
        delaySeconds = seconds;
    }

    /** Returns whether the link was cut meanwhile. */
    private synchronized boolean awaitAccepting() throws InterruptedException {
        boolean cut = !accepting;
        while (!accepting) {
            wait();
        }
        return cut;
    }

    /**
     * The protocol page: new connections to a machine that is cut off "never come up, or are reset when it is back".
     */
    private void resetQueued() throws IOException {
        listener.setSoTimeout(1);
        try {
            while (true) {
                reset(listener.accept());
            }
        } catch (SocketTimeoutException e) {
            listener.setSoTimeout(0);
        }
    }

    private synchronized void awaitPassage(Connection connection, Direction direction) throws InterruptedException {
        while (connection.silent || silent.contains(direction)) {
            wait();
        }
    }

    private void acceptAll() throws IOException, InterruptedException {
        while (true) {
            if (awaitAccepting()) {
                resetQueued();
            }
            Socket client = listener.accept();
            Connection connection = new Connection(client);
            connections.add(connection);
            SocketTask.start(connection::open);
        }
    }

    /** One connection from a client through the link. */
    private final class Connection {
        private final Socket client;
        private final Socket onward = new Socket();
        private volatile boolean silent;
        private final BlockingQueue<byte[]> read = new LinkedBlockingQueue<>();
        private final StringBuilder head = new StringBuilder();
        /** The attempt without a byte of an answer; empty where there is none. */
        private volatile String openAttempt = "";

        Connection(Socket client) {
            this.client = client;
        }

        void open() throws IOException, InterruptedException {
            client.setTcpNoDelay(true);
            SocketTask.start(this::readClient);
            awaitPassage(this, Direction.TO_SERVER);
            try {
                onward.connect(server);
            } catch (IOException e) {
                resetBoth();
                return;
            }
            onward.setTcpNoDelay(true);
            SocketTask.start(this::passToClient);
            passToServer();
        }

        /** Reads what comes from the client whether or not it may pass, so that it is seen when it comes. */
        private void readClient() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                for (int size = client.getInputStream().read(buffer); size >= 0; ) {
                    spotAttempt(new String(buffer, 0, size, StandardCharsets.ISO_8859_1));
                    read.add(Arrays.copyOf(buffer, size));
                    size = client.getInputStream().read(buffer);
                }
                read.add(ORDERLY_END);
            } catch (IOException e) {
                read.add(RESET);
            }
            endAttempt(observer::givenUp);
        }

        private void passToServer() throws InterruptedException {
            try {
                byte[] piece = read.take();
                for (; piece.length > 0; piece = read.take()) {
                    SoakFaults.pause(delaySeconds);
                    awaitPassage(this, Direction.TO_SERVER);
                    onward.getOutputStream().write(piece);
                }
                awaitPassage(this, Direction.TO_SERVER);
                if (piece == RESET) {
                    resetBoth();
                } else {
                    onward.shutdownOutput();
                }
            } catch (IOException e) {
                resetBoth();
            }
        }

        private void passToClient() throws InterruptedException {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = onward.getInputStream();
                for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
                    SoakFaults.pause(delaySeconds);
                    awaitPassage(this, Direction.FROM_SERVER);
                    client.getOutputStream().write(buffer, 0, size);
                    endAttempt(observer::answered);
                }
                awaitPassage(this, Direction.FROM_SERVER);
                endAttempt(observer::givenUp);
                client.shutdownOutput();
            } catch (IOException e) {
                awaitPassage(this, Direction.FROM_SERVER);
                endAttempt(observer::givenUp);
                resetBoth();
            }
        }

        private void resetBoth() {
            reset(client);
            reset(onward);
            connections.remove(this);
        }

        private void spotAttempt(String piece) {
            head.append(piece);
            Matcher attempt = ATTEMPT.matcher(head);
            if (attempt.find()) {
                openAttempt = attempt.group(1);
                observer.sent(attempt.group(1), Double.parseDouble(attempt.group(2)));
                head.setLength(0);
            }
            head.delete(0, Math.max(0, head.length() - MAX_REMEMBERED_CHARACTERS));
        }

        private synchronized void endAttempt(Consumer<String> event) {
            if (!openAttempt.isEmpty()) {
                event.accept(openAttempt);
                openAttempt = "";
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
        emptyListenQueue();
        connections.forEach(connection -> {
            reset(connection.client);
            reset(connection.onward);
        });
    }
}

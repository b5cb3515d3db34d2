package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** A stub of an engine or of discovery on a free loopback port; {@link StubAnswer} tells how an engine answers. */
final class StubServer implements AutoCloseable {

    /** What a stub stands in for; the word names it in request bodies that ask for faults. */
    enum Role {
        PREFILL("prefill"),
        DECODE("decode"),
        DISCOVERY("discovery");

        final String word;

        Role(String word) {
            this.word = word;
        }
    }

    /** As long as nothing changes an empty line shows that discovery is alive, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 500;
    /** The gateways' configuration holds version 1, so the first update that is published is version 2. */
    private static final int FIRST_PUBLISHED_VERSION = 2;

    private static final int ACCEPT_BACKLOG = 200;

    final Role role;
    /** All requests in the order of their arrival. */
    final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    /** Bodies of requests whose connection the gateway closed before an answer ended. */
    final List<String> abandonedRequests = new CopyOnWriteArrayList<>();
    /** Set by a test once its client has the first event of a stream "cut later". */
    volatile boolean firstEventReceived;
    /** How many events of a stream "in steps" the client has received: the next one is written then. */
    volatile int eventsReceived;
    /** Of which requests, by their ids, there is no KV cache to fetch. */
    volatile Predicate<String> missingCacheFor = id -> false;
    /** Paths that begin otherwise are answered with 404. */
    volatile String knownPathPrefix = "/v1/";

    private final ServerSocket listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Updates that discovery has published; its monitor guards the list and the two flags below. */
    private final List<String> published = new ArrayList<>();

    private boolean unresponsive;
    private boolean closed;

    StubServer(Role role) throws IOException {
        this.role = role;
        SocketTask.start(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                SocketTask.start(() -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Sends an update to every watch, as discovery does. */
    void publish(String update) {
        synchronized (published) {
            published.add(update);
            published.notifyAll();
        }
    }

    /** Has discovery accept new watches without an answer to them, until it is set back. */
    void setUnresponsive(boolean unresponsive) {
        synchronized (published) {
            this.unresponsive = unresponsive;
            published.notifyAll();
        }
    }

    boolean isClosed() {
        synchronized (published) {
            return closed;
        }
    }

    void closeConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    /** How many requests of the method had the text in their body or target. */
    long requestCount(String method, String text) {
        return receivedRequests.stream()
                .filter(request -> request.matches(method, text))
                .count();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            boolean first = true;
            for (String line = RawHttp.readLine(in); line != null; line = RawHttp.readLine(in)) {
                Map<String, String> headers = RawHttp.readHeaders(in);
                String body = RawHttp.readSizedBody(in, headers);
                if (body.contains("stale") && !first) {
                    return;
                }
                first = false;
                String[] words = line.split(" ");
                ReceivedRequest request = new ReceivedRequest(words[0], words[1], headers, body, System.nanoTime());
                receivedRequests.add(request);
                if (!answer(request, in, socket.getOutputStream())) {
                    return;
                }
            }
        }
    }

    private boolean answer(ReceivedRequest request, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        if (role == Role.DISCOVERY) {
            streamUpdates(out, Long.parseLong(request.target().replaceAll(".*since=", "")));
            return false;
        }
        return new StubAnswer(this, request, in, out).write();
    }

    private void streamUpdates(OutputStream out, long sinceVersion) throws IOException, InterruptedException {
        synchronized (published) {
            while (unresponsive && !closed) {
                published.wait();
            }
        }
        RawHttp.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int sent = 0;
        while (!isClosed()) {
            List<String> updates = awaitUpdates(sent);
            if (updates.isEmpty()) {
                RawHttp.writeChunk(out, "\n");
            }
            for (String update : updates) {
                if (sent + FIRST_PUBLISHED_VERSION > sinceVersion) {
                    RawHttp.writeChunk(out, update + "\n");
                }
                sent++;
            }
        }
    }

    /** The updates after those sent; none when a heartbeat is due first. */
    private List<String> awaitUpdates(int sent) throws InterruptedException {
        synchronized (published) {
            if (sent == published.size()) {
                published.wait(HEARTBEAT_INTERVAL_MS);
            }
            return List.copyOf(published.subList(sent, published.size()));
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (published) {
            closed = true;
            published.notifyAll();
        }
        listener.close();
        closeConnections();
    }
}

package dunlinladder.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/**
 * The KV caches of all engines of a soak, kept in one place that every engine asks over a connection of its own: which
 * are held, and how many attempts that have arrived wait for each. A release frees what no attempt waits for.
 */
final class SoakCaches implements AutoCloseable {

    /** What an engine asks, with a request's id. */
    enum Question {
        /** A prefill has ended: its KV cache is held. Always yes. */
        HOLD,
        /** A decode attempt has arrived: whether there is a KV cache to wait for. */
        AWAIT,
        /** A decode attempt that waited has ended without fetching. Always yes. */
        LEAVE,
        /** A decode attempt fetches: whether the KV cache is still there. */
        FETCH,
        /** A release has arrived: whether it has freed a KV cache. */
        RELEASE
    }

    private static final int LISTEN_QUEUE = 100;

    private final ServerSocket listener = new ServerSocket(0, LISTEN_QUEUE, InetAddress.getLoopbackAddress());
    /** How many attempts wait for each KV cache that is held; guarded by this object's monitor. */
    private final Map<String, Integer> waiting = new HashMap<>();

    SoakCaches() throws IOException {
        Thread thread = new Thread(this::acceptAll, "caches");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> answerAll(socket), "cache-questions");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The run is over.
        }
    }

    private void answerAll(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                boolean yes = answer(Question.valueOf(words[0]), words[1]);
                socket.getOutputStream().write(yes ? 'y' : 'n');
            }
        } catch (IOException e) {
            // The engine was killed.
        }
    }

    private synchronized boolean answer(Question question, String id) {
        Integer count = waiting.get(id);
        switch (question) {
            case HOLD -> waiting.putIfAbsent(id, 0);
            case AWAIT -> waiting.computeIfPresent(id, (key, waiters) -> waiters + 1);
            case LEAVE -> waiting.computeIfPresent(id, (key, waiters) -> waiters - 1);
            case FETCH -> waiting.remove(id);
            case RELEASE -> {
                if (count != null && count == 0) {
                    waiting.remove(id);
                    return true;
                }
                return false;
            }
        }
        return count != null;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** The side of one engine. */
    static final class Client {
        private final Socket socket;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
        }

        /** Asks, and waits for the answer. */
        synchronized boolean ask(Question question, String id) throws IOException {
            RawHttp.write(socket.getOutputStream(), question + " " + id + "\n");
            return socket.getInputStream().read() == 'y';
        }
    }
}

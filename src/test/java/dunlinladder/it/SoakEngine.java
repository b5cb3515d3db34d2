package dunlinladder.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Random;

/**
 * An engine of the soak, a process of its own: prefills or decodes, tells each event by a line of its output, and takes
 * its mode from lines of its input. Its listen queue is short, so that connections hang while the process is stopped.
 */
final class SoakEngine {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int LISTEN_QUEUE = 2;
    private static final double MAX_PREFILL_SECONDS = 0.06;
    private static final int EVENTS = 6;
    private static final double EVENT_SECONDS = 0.03;
    private static final double PARTIAL_CHANCE = 0.5;
    private static final double SLOW_SECONDS = 1.5;
    /** Between two looks at whether the gateway has closed, while a decode waits. */
    private static final double LOOK_SECONDS = 0.02;

    /** How the engine answers. */
    enum Mode {
        /** As a sound engine does. */
        SOUND,
        /** Brings its first tokens late. */
        SLOW,
        /** Takes requests and says nothing. */
        SILENT,
        /** Breaks connections under requests, before or after they have had their effect. */
        RESET,
        /** Answers 500. */
        ERROR,
        /** Turns requests away. */
        FULL
    }

    private final boolean prefills;
    private final String name;
    private final Random random;
    private final SoakCaches.Client caches;
    private volatile Mode mode = Mode.SOUND;

    private SoakEngine(boolean prefills, String name, long seed, int cachesPort) throws IOException {
        this.prefills = prefills;
        this.name = name;
        this.random = new Random(seed);
        this.caches = new SoakCaches.Client(cachesPort);
    }

    /** Arguments: prefill or decode, its name, a seed, the port of the caches. Prints its port first. */
    public static void main(String[] args) throws IOException {
        SoakEngine engine =
                new SoakEngine(args[0].equals("prefill"), args[1], Long.parseLong(args[2]), Integer.parseInt(args[3]));
        ServerSocket listener = new ServerSocket(0, LISTEN_QUEUE, InetAddress.getLoopbackAddress());
        System.out.println("port " + listener.getLocalPort());
        Thread modes = new Thread(engine::readModes);
        modes.setDaemon(true);
        modes.start();
        while (true) {
            Socket socket = listener.accept();
            Thread thread = new Thread(() -> engine.serve(socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void readModes() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                mode = Mode.valueOf(line);
            }
        } catch (IOException e) {
            // As at the end of the input.
        }
        System.exit(0);
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            for (String line = RawHttp.readLine(in); line != null; line = RawHttp.readLine(in)) {
                Map<String, String> headers = RawHttp.readHeaders(in);
                RawHttp.readSizedBody(in, headers);
                if (!answer(line, headers, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The gateway has closed the connection, or was killed.
        }
    }

    private boolean answer(String requestLine, Map<String, String> headers, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (requestLine.startsWith("DELETE ")) {
            return release(requestLine.split(" ")[1], out);
        }
        String id = headers.get("X-Request-ID");
        double timeout = Double.parseDouble(headers.getOrDefault("X-Timeout", "0"));
        if (isClosed(socket)) {
            // Given up by its gateway before this process came to read it: no attempt.
            return false;
        }
        print(prefills ? SoakEvent.Kind.PREFILL_BEGUN : SoakEvent.Kind.DECODE_BEGUN, id, timeout);
        Mode now = mode;
        boolean cached = prefills || caches.ask(SoakCaches.Question.AWAIT, id);
        if (!cached) {
            print(SoakEvent.Kind.DECODE_MISSING, id, 0);
            RawHttp.write(out, "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (now == Mode.SILENT) {
            awaitClose(socket);
            return drop(id, false);
        }
        if (now == Mode.FULL) {
            drop(id, true);
            RawHttp.write(out, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (now == Mode.ERROR) {
            drop(id, true);
            RawHttp.write(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (now == Mode.RESET && random.nextDouble() < PARTIAL_CHANCE) {
            drop(id, false);
            socket.setSoLinger(true, 0);
            return false;
        }
        return prefills ? prefill(id, now, socket) : decode(id, now, socket);
    }

    private boolean release(String target, OutputStream out) throws IOException {
        String id = target.substring(target.lastIndexOf('/') + 1);
        if (caches.ask(SoakCaches.Question.RELEASE, id)) {
            print(SoakEvent.Kind.RELEASED, id, 0);
        }
        RawHttp.write(out, "HTTP/1.1 204 No Content\r\n\r\n");
        return true;
    }

    /** An attempt ends without an effect; returns whether its connection stays open. */
    private boolean drop(String id, boolean connectionStays) throws IOException {
        if (!prefills) {
            caches.ask(SoakCaches.Question.LEAVE, id);
        }
        print(prefills ? SoakEvent.Kind.PREFILL_DROPPED : SoakEvent.Kind.DECODE_DROPPED, id, 0);
        return connectionStays;
    }

    private boolean prefill(String id, Mode now, Socket socket) throws IOException {
        SoakFaults.pause(random.nextDouble() * MAX_PREFILL_SECONDS);
        if (isClosed(socket)) {
            // What is read for nobody is not kept.
            return drop(id, false);
        }
        caches.ask(SoakCaches.Question.HOLD, id);
        print(SoakEvent.Kind.PREFILLED, id, 0);
        if (now == Mode.RESET) {
            // The KV cache is held, and nobody is told.
            socket.setSoLinger(true, 0);
            return false;
        }
        RawHttp.write(socket.getOutputStream(), "HTTP/1.1 202 Read\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}");
        return true;
    }

    private boolean decode(String id, Mode now, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        long firstTokenAt = System.nanoTime() + (now == Mode.SLOW ? (long) (SLOW_SECONDS * NANOS_PER_SECOND) : 0);
        while (System.nanoTime() < firstTokenAt) {
            if (isClosed(socket)) {
                return drop(id, false);
            }
            SoakFaults.pause(LOOK_SECONDS);
        }
        caches.ask(SoakCaches.Question.FETCH, id);
        print(SoakEvent.Kind.RAN, id, 0);
        if (now == Mode.RESET) {
            socket.setSoLinger(true, 0);
            return false;
        }
        RawHttp.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < EVENTS; i++) {
            RawHttp.writeChunk(out, StubAnswer.delta("x", i + 1 < EVENTS ? "null" : "\"stop\""));
            SoakFaults.pause(EVENT_SECONDS);
        }
        RawHttp.writeChunk(out, "data: [DONE]\n\n");
        RawHttp.writeLastChunk(out);
        return true;
    }

    /** Whether the gateway has closed the connection; it sends nothing on it before the answer. */
    private static boolean isClosed(Socket socket) throws IOException {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private static void awaitClose(Socket socket) {
        try {
            while (socket.getInputStream().read() >= 0) {
                // Nothing more is expected.
            }
        } catch (IOException e) {
            // A reset is an end too.
        }
    }

    private void print(SoakEvent.Kind kind, String id, double timeout) {
        System.out.println(new SoakEvent(System.nanoTime(), kind, id, name, timeout).line());
    }
}

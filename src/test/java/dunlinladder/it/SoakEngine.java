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
 * An engine of the soak, run as a separate process. It prefills or decodes, prints one line for each event and reads
 * its mode from its standard input. Its listen queue is short, so that new connections hang while the process is
 * stopped.
 */
final class SoakEngine {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ACCEPT_BACKLOG = 2;
    private static final double MAX_PREFILL_SECONDS = 0.06;
    private static final int EVENTS_PER_ANSWER = 6;
    /** Share of the answers whose stream has a fault. */
    private static final double STREAM_FAULT_CHANCE = 0.06;

    private static final int SLOW_EVENT_CHARACTERS = 600;
    private static final int SLOW_PIECE_CHARACTERS = 100;
    private static final double SLOW_PIECE_SECONDS = 0.25;
    private static final double EVENT_INTERVAL_SECONDS = 0.03;
    private static final double RESET_BEFORE_EFFECT_CHANCE = 0.5;
    private static final double SLOW_FIRST_TOKEN_SECONDS = 1.5;
    /** Interval at which a waiting decode checks whether the gateway has closed the connection. */
    private static final double CLOSE_CHECK_INTERVAL_SECONDS = 0.02;

    /** How the engine answers. */
    enum Mode {
        /** Answers without faults. */
        SOUND,
        /** Sends its first tokens late. */
        SLOW,
        /** Accepts requests and sends no answer. */
        SILENT,
        /** Resets connections during requests, before or after the requests have had their effect. */
        RESET,
        /** Answers with status 500. */
        ERROR,
        /** Answers with status 503 and does not process the request. */
        FULL
    }

    /** How an engine writes the stream of one answer. */
    private enum StreamFault {
        NONE,
        /** Sends the last chunk after some events, without the closing event. */
        ENDS_EARLY,
        /** Sends nothing more after some events, and keeps the connection open. */
        STOPS,
        /** Writes a long event in small pieces. */
        SLOW_EVENT
    }

    private final boolean prefills;
    private final String name;
    private final Random random;
    private final Random streamRandom;
    private final SoakCaches.Client caches;
    private volatile Mode mode = Mode.SOUND;

    private SoakEngine(boolean prefills, String name, long seed, int cachesPort) throws IOException {
        this.prefills = prefills;
        this.name = name;
        this.random = new Random(seed);
        this.streamRandom = new Random(~seed);
        this.caches = new SoakCaches.Client(cachesPort);
    }

    /**
     * Runs an engine and prints its port first. Arguments: prefill or decode, its name, a seed, the port of
     * {@link SoakCaches}.
     */
    public static void main(String[] args) throws IOException {
        SoakEngine engine =
                new SoakEngine(args[0].equals("prefill"), args[1], Long.parseLong(args[2]), Integer.parseInt(args[3]));
        ServerSocket listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
        System.out.println("port " + listener.getLocalPort());
        Thread modeReader = new Thread(engine::readModes);
        modeReader.setDaemon(true);
        modeReader.start();
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
            // Treated as the end of the input.
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
            // The gateway gave the attempt up before this process read it, so it does not count as an attempt.
            return false;
        }
        printEvent(prefills ? SoakEvent.Kind.PREFILL_BEGUN : SoakEvent.Kind.DECODE_BEGUN, id, timeout);
        Mode currentMode = mode;
        boolean cacheAvailable = prefills || caches.execute(SoakCaches.Operation.AWAIT, id);
        if (!cacheAvailable) {
            printEvent(SoakEvent.Kind.DECODE_MISSING, id, 0);
            RawHttp.write(out, "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (currentMode == Mode.SILENT) {
            awaitClose(socket);
            return drop(id, false);
        }
        if (currentMode == Mode.FULL) {
            drop(id, true);
            RawHttp.write(out, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (currentMode == Mode.ERROR) {
            drop(id, true);
            RawHttp.write(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (currentMode == Mode.RESET && random.nextDouble() < RESET_BEFORE_EFFECT_CHANCE) {
            drop(id, false);
            socket.setSoLinger(true, 0);
            return false;
        }
        return prefills ? prefill(id, currentMode, socket) : decode(id, currentMode, socket);
    }

    private boolean release(String target, OutputStream out) throws IOException {
        String id = target.substring(target.lastIndexOf('/') + 1);
        if (caches.execute(SoakCaches.Operation.RELEASE, id)) {
            printEvent(SoakEvent.Kind.RELEASED, id, 0);
        }
        RawHttp.write(out, "HTTP/1.1 204 No Content\r\n\r\n");
        return true;
    }

    /** Ends an attempt without an effect; returns whether its connection stays open. */
    private boolean drop(String id, boolean keepConnection) throws IOException {
        if (!prefills) {
            caches.execute(SoakCaches.Operation.LEAVE, id);
        }
        printEvent(prefills ? SoakEvent.Kind.PREFILL_DROPPED : SoakEvent.Kind.DECODE_DROPPED, id, 0);
        return keepConnection;
    }

    private boolean prefill(String id, Mode currentMode, Socket socket) throws IOException {
        SoakFaults.sleep(random.nextDouble() * MAX_PREFILL_SECONDS);
        if (isClosed(socket)) {
            // The gateway no longer waits for this prefill: its KV cache is not held.
            return drop(id, false);
        }
        caches.execute(SoakCaches.Operation.HOLD, id);
        printEvent(SoakEvent.Kind.PREFILLED, id, 0);
        if (currentMode == Mode.RESET) {
            // The KV cache is held, and the gateway gets no answer.
            socket.setSoLinger(true, 0);
            return false;
        }
        RawHttp.write(socket.getOutputStream(), "HTTP/1.1 202 Read\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}");
        return true;
    }

    private boolean decode(String id, Mode currentMode, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        long firstTokenAt = System.nanoTime()
                + (currentMode == Mode.SLOW ? (long) (SLOW_FIRST_TOKEN_SECONDS * NANOS_PER_SECOND) : 0);
        while (System.nanoTime() < firstTokenAt) {
            if (isClosed(socket)) {
                return drop(id, false);
            }
            SoakFaults.sleep(CLOSE_CHECK_INTERVAL_SECONDS);
        }
        caches.execute(SoakCaches.Operation.FETCH, id);
        printEvent(SoakEvent.Kind.RAN, id, 0);
        if (currentMode == Mode.RESET) {
            socket.setSoLinger(true, 0);
            return false;
        }
        RawHttp.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        return writeStream(id, drawStreamFault(), socket);
    }

    private StreamFault drawStreamFault() {
        synchronized (streamRandom) {
            StreamFault[] faults = StreamFault.values();
            return streamRandom.nextDouble() < STREAM_FAULT_CHANCE
                    ? faults[1 + streamRandom.nextInt(faults.length - 1)]
                    : StreamFault.NONE;
        }
    }

    private boolean writeStream(String id, StreamFault fault, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        boolean endsEarly = fault == StreamFault.ENDS_EARLY || fault == StreamFault.STOPS;
        int events = endsEarly ? 1 + Math.floorMod(id.hashCode(), EVENTS_PER_ANSWER) : EVENTS_PER_ANSWER;
        for (int i = 0; i < events; i++) {
            RawHttp.writeChunk(out, StubAnswer.delta("x", i + 1 < EVENTS_PER_ANSWER ? "null" : "\"stop\""));
            SoakFaults.sleep(EVENT_INTERVAL_SECONDS);
        }
        if (fault == StreamFault.STOPS) {
            printEvent(SoakEvent.Kind.STREAM_STOPPED, id, 0);
            awaitClose(socket);
            return false;
        }
        if (fault == StreamFault.ENDS_EARLY) {
            RawHttp.writeLastChunk(out);
            awaitClose(socket);
            return false;
        }
        if (fault == StreamFault.SLOW_EVENT) {
            writeSlowly(StubAnswer.delta("x".repeat(SLOW_EVENT_CHARACTERS), "null"), out);
        }
        RawHttp.writeChunk(out, "data: [DONE]\n\n");
        RawHttp.writeLastChunk(out);
        return true;
    }

    private static void writeSlowly(String event, OutputStream out) throws IOException {
        for (int start = 0; start < event.length(); start += SLOW_PIECE_CHARACTERS) {
            SoakFaults.sleep(SLOW_PIECE_SECONDS);
            RawHttp.writeChunk(out, event.substring(start, Math.min(start + SLOW_PIECE_CHARACTERS, event.length())));
        }
    }

    /** Whether the gateway has closed the connection. The gateway sends no further bytes before the answer. */
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
                // No further bytes are expected.
            }
        } catch (IOException e) {
            // A reset ends the connection too.
        }
    }

    private void printEvent(SoakEvent.Kind kind, String id, double timeout) {
        System.out.println(new SoakEvent(System.nanoTime(), kind, id, name, timeout).line());
    }
}

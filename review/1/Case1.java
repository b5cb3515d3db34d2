import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One stream of one engine opens with noise. Checks that streams of other engines, whose events still come, are passed
 * on to their ends. Records, without judging it, what becomes of the requests that follow.
 */
final class Case1 {

    private static final int BYSTANDERS = 6;
    /** The gateway gets at least 15 requests in over 4 s after the noise. */
    private static final int LATER_REQUESTS = 20;
    private static final double LATER_INTERVAL = 0.5;
    /** The noise: one line of this many bytes with this byte, within an event. */
    private static final int NOISE_BYTES = 2000;

    private Case1() {}

    public static void main(String[] args) {
        int status = 2;
        try {
            status = run(args[0], !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(String recordFile, boolean trouble) throws Exception {
        try (Stand stand = new Stand(recordFile)) {
            stand.note("trouble=%s", trouble);
            for (int i = 1; i <= 2; i++) {
                stand.new Engine("reader-" + i, "prompt", 1);
            }
            for (int i = 1; i <= 3; i++) {
                Stand.Engine writer = stand.new Engine("writer-" + i, "answer", 1);
                writer.behaviour = (engine, request, socket) -> answer(stand, engine, request, socket);
            }
            Stand.Gateway gateway = stand.new Gateway("n1", Stand.SETTINGS);
            if (!gateway.awaitUp()) {
                return 2;
            }
            for (int i = 0; i < 5; i++) {
                if (stand.ask(gateway.port, "first-" + i, "lookup", 4, 2).status() != 200) {
                    return 2;
                }
            }
            List<Stand.Answer> longStreams = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < BYSTANDERS; i++) {
                String id = "long-" + i;
                clients.add(Stand.start(id, () -> longStreams.add(stand.ask(gateway.port, id, "lookup", 4, 10))));
            }
            Stand.sleep(2);
            // Clients may retry a safe request after a failure; this one does not.
            Stand.Answer spoilt = stand.ask(gateway.port, (trouble ? "noise" : "sound"), "lookup", 4, 6);
            double spoiltAt = Stand.now();
            int arrivedBefore = arrived(stand);
            int refused = 0;
            int served = 0;
            List<Thread> later = new ArrayList<>();
            List<Stand.Answer> answers = new CopyOnWriteArrayList<>();
            for (int i = 0; i < LATER_REQUESTS; i++) {
                String id = "later-" + i;
                later.add(Stand.start(id, () -> answers.add(stand.ask(gateway.port, id, "lookup", 4, 2))));
                Stand.sleep(LATER_INTERVAL);
            }
            for (Thread client : later) {
                client.join(8000);
            }
            for (Thread client : clients) {
                client.join(20000);
            }
            for (Stand.Answer answer : answers) {
                refused += answer.isRefusal() ? 1 : 0;
                served += answer.status() == 200 && answer.complete() ? 1 : 0;
            }
            int attempts = arrived(stand) - arrivedBefore;
            stand.note("the request with the noise: status=%d complete=%s", spoilt.status(), spoilt.complete());
            int cut = 0;
            for (Stand.Answer answer : longStreams) {
                boolean whole = answer.status() == 200 && answer.complete() && answer.body().contains("[DONE]");
                if (!whole) {
                    cut++;
                    stand.note("CUT %s: status=%d ended at %.3f", answer.id(), answer.status(), answer.endedAt());
                }
            }
            stand.note("streams of sound engines cut off: %d of %d", cut, BYSTANDERS);
            stand.note(
                    "after the noise (%.3f): %d requests in %.1f s, %d attempts at engines, %d refused, %d served; "
                            + "process alive=%s, GET /up 200=%s",
                    spoiltAt, LATER_REQUESTS, LATER_REQUESTS * LATER_INTERVAL, attempts, refused, served,
                    gateway.process.isAlive(), gateway.process.isAlive() && gateway.awaitUp());
            gateway.log().lines()
                    .filter(line -> line.startsWith("Exception in thread"))
                    .forEach(line -> stand.note("log of n1: %s", line));
            stand.note("%s", cut > 0 ? "BROKEN" : "HELD");
            return cut > 0 ? 1 : 0;
        }
    }

    private static int arrived(Stand stand) {
        return stand.engines.stream().mapToInt(engine -> engine.arrived.size()).sum();
    }

    private static boolean answer(Stand stand, Stand.Engine engine, Stand.Request request, Socket socket)
            throws java.io.IOException {
        if (!request.method().equals("POST")) {
            return false;
        }
        if (request.id().startsWith("long-")) {
            stand.states.remove(request.id());
            stand.note("%s: runs %s", engine.name, request.id());
            Stand.write(socket.getOutputStream(), Stand.streamHead());
            for (int i = 0; i < 40; i++) {
                Stand.writeChunk(socket.getOutputStream(), Stand.event(request, i));
                Stand.sleep(0.2);
            }
            Stand.writeChunk(socket.getOutputStream(), Stand.streamEnd());
            Stand.write(socket.getOutputStream(), "0\r\n\r\n");
            stand.note("%s: answered %s to the end", engine.name, request.id());
            return true;
        }
        if (request.id().equals("noise")) {
            stand.states.remove(request.id());
            stand.note("%s: runs %s, its stream opens with %d bytes of noise", engine.name, request.id(), NOISE_BYTES);
            Stand.write(socket.getOutputStream(), Stand.streamHead());
            Stand.writeChunk(socket.getOutputStream(), "data: {\"a\":" + "[".repeat(NOISE_BYTES) + "\n\n");
            // The connection stays open and is of no further use.
            Stand.sleep(30);
            return true;
        }
        return false;
    }
}

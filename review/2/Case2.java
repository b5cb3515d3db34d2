import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A gateway is told to end while one of its four engines hangs. Checks that no request of a keyed class, whose repeats
 * are dropped only within a cell, is refused after an engine that may run it has received it.
 */
final class Case2 {

    private static final int REQUESTS = 8;
    private static final String KEYED = Stand.SETTINGS.replace(
            "\"semantics\":\"unsafe\"", "\"semantics\":\"keyed\",\"group\":\"cell\",\"repeat-window\":5.0");

    private Case2() {}

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
            stand.new Engine("reader-1", "prompt", 1);
            stand.new Engine("reader-2", "prompt", 2);
            Set<String> mayHaveRun = ConcurrentHashMap.newKeySet();
            AtomicBoolean hangs = new AtomicBoolean();
            for (int i = 1; i <= 2; i++) {
                Stand.Engine writer = stand.new Engine("writer-" + i, "answer", i);
                writer.behaviour = (engine, request, socket) -> {
                    if (hangs.get() && engine.name.equals("writer-1")) {
                        // A process that hangs answers nothing, releases included.
                        Stand.sleep(60);
                        return true;
                    }
                    if (!request.method().equals("POST") || request.id().startsWith("first-")) {
                        return false;
                    }
                    if (stand.states.remove(request.id()) == null) {
                        // Answered with 410 by the usual answer.
                        return false;
                    }
                    mayHaveRun.add(request.id());
                    stand.note("%s: runs %s", engine.name, request.id());
                    // The first token comes after 0.8 s; a process that hangs by then writes nothing more.
                    Stand.sleep(0.8);
                    if (hangs.get() && engine.name.equals("writer-1")) {
                        stand.note("%s: hangs, with %s run and not answered", engine.name, request.id());
                        Stand.sleep(60);
                    }
                    engine.stream(request, socket.getOutputStream());
                    return true;
                };
            }
            Stand.Gateway gateway = stand.new Gateway("n1", KEYED);
            if (!gateway.awaitUp()) {
                return 2;
            }
            for (int i = 0; i < 6; i++) {
                if (stand.ask(gateway.port, "first-" + i, "listing", 10, 2).status() != 200) {
                    return 2;
                }
            }
            List<Stand.Answer> answers = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = "keyed-" + i;
                clients.add(Stand.start(id, () -> answers.add(stand.ask(gateway.port, id, "listing", 10, 2))));
                Stand.sleep(0.03);
            }
            Stand.sleep(0.2);
            hangs.set(trouble);
            gateway.terminate();
            for (Thread client : clients) {
                client.join(14000);
            }
            // The longest deadline, taken as 3 s, and 0.7 s more: SIGKILL would come no earlier.
            boolean ended = gateway.process.waitFor(10, TimeUnit.SECONDS);
            stand.note("n1: ended=%s status=%s", ended, ended ? gateway.process.exitValue() : "-");
            int broken = 0;
            for (Stand.Answer answer : answers) {
                if (answer.isRefusal() && mayHaveRun.contains(answer.id())) {
                    broken++;
                    stand.note("REFUSED %s with %d at %.3f, and an engine has run it", answer.id(), answer.status(),
                            answer.endedAt());
                }
            }
            stand.note("%d of %d requests may have run; refused all the same: %d", mayHaveRun.size(), REQUESTS, broken);
            stand.note("%s", broken > 0 ? "BROKEN" : "HELD");
            return mayHaveRun.isEmpty() ? 2 : broken > 0 ? 1 : 0;
        }
    }
}

package review2;

import java.util.ArrayList;
import java.util.List;

/** Discovery goes down and comes back with numbers that start again; meanwhile an engine has begun to drain. */
final class Renumber {

    private static final double DOWN_SECONDS = 3;
    /** The grace of the settings and 50 ms. */
    private static final double GRACE = 1.05;

    private Renumber() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        Stand.Fleet fleet = new Stand.Fleet();
        fleet.add("reader-1", "prompt", 1, Stand.reader(0.03));
        fleet.add("writer-1", "answer", 1, Stand.writer(0.03, 3, 0.02));
        Stand.Engine draining = fleet.add("writer-2", "answer", 1, Stand.writer(0.03, 3, 0.02));
        Stand.Discovery discovery = new Stand.Discovery(fleet);
        Stand.Gateway gateway = new Stand.Gateway("n0", discovery, Stand.temporaryFolder());
        gateway.start();
        List<Stand.Result> results = new ArrayList<>();
        Thread clients = Stand.start(() -> {
            for (int number = 0; number < 200; number++) {
                Stand.start(() -> {
                    String id = Stand.newId();
                    Stand.ask(gateway.port, id, Stand.platformRequest(id, "lookup", 4, Stand.platformBody(200)), 6);
                });
                Stand.sleep(0.1);
            }
        });
        Stand.sleep(4);
        discovery.down(DOWN_SECONDS, Stand.TROUBLE, () -> draining.health = "leaving");
        Stand.log("discovery is back; writer-2 is leaving");
        double toldAt = discovery.awaitWatch(10);
        Stand.log("told at " + toldAt);
        clients.join();
        List<String> violations = new ArrayList<>();
        for (Stand.Received request : fleet.received) {
            if (request.engine().equals("writer-2") && request.message().firstByteAt > toldAt + GRACE) {
                violations.add("writer-2 got " + request.id() + " " + (request.message().firstByteAt - toldAt)
                        + " s after the gateway was told that it is leaving");
            }
        }
        Stand.log("requests at writer-1 " + count(fleet, "writer-1") + ", at writer-2 " + count(fleet, "writer-2"));
        Stand.verdict(violations);
    }

    private static long count(Stand.Fleet fleet, String engine) {
        return fleet.received.stream().filter(request -> request.engine().equals(engine)).count();
    }
}

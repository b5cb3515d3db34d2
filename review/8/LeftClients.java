package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Clients that leave shortly after they have asked, behind a crowd of idle clients. */
final class LeftClients {

    private static final int IDLE = 1000;
    private static final int CLIENTS = 40;
    private static final double STAYS = 0.2;
    /** An attempt may begin this long after the close: 0.1 s, and 50 ms on sockets. */
    private static final double ALLOWED = 0.15;

    private LeftClients() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        Stand.Fleet fleet = new Stand.Fleet();
        for (int number = 1; number <= 2; number++) {
            fleet.add("reader-" + number, "prompt", 1, Stand.reader(0.02));
            fleet.add("writer-" + number, "answer", 1, Stand.writer(0.03, 3, 0.02));
        }
        Stand.Discovery discovery = new Stand.Discovery(fleet);
        Stand.Gateway gateway = new Stand.Gateway("n0", discovery, Stand.temporaryFolder());
        gateway.sockets = 256;
        gateway.start();
        Map<String, Double> closedAt = new ConcurrentHashMap<>();
        for (int round = 0; round < 3; round++) {
            List<Socket> idle = new CopyOnWriteArrayList<>();
            if (Stand.TROUBLE) {
                for (int number = 0; number < IDLE; number++) {
                    idle.add(connect(gateway));
                }
                Stand.log(IDLE + " idle clients have connected");
            }
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) {
                clients.add(Stand.start(() -> leave(gateway, closedAt)));
                Stand.sleep(0.005);
            }
            for (Thread client : clients) {
                client.join();
            }
            Stand.sleep(4);
            for (Socket socket : idle) {
                socket.close();
            }
            Stand.sleep(1);
        }
        List<String> violations = new ArrayList<>();
        for (Stand.Received request : fleet.received) {
            Double closed = closedAt.get(request.id());
            if (closed != null && request.message().firstByteAt > closed + ALLOWED) {
                violations.add("an attempt for " + request.id() + " began at " + request.engine() + " "
                        + (request.message().firstByteAt - closed) + " s after its client had closed");
            }
        }
        Stand.log(closedAt.size() + " clients left, " + fleet.received.size() + " attempts");
        Stand.verdict(violations);
    }

    private static Socket connect(Stand.Gateway gateway) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(Stand.HOST, gateway.port), 5000);
        return socket;
    }

    private static void leave(Stand.Gateway gateway, Map<String, Double> closedAt) throws IOException {
        String id = Stand.newId();
        try (Socket socket = connect(gateway)) {
            Stand.write(socket.getOutputStream(), Stand.platformRequest(id, "lookup", 4, Stand.platformBody(200)));
            Stand.sleep(STAYS);
        }
        closedAt.put(id, Stand.now());
        Stand.log("client " + id + " has closed");
    }
}

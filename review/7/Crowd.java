package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** Many long chat requests at once, beside ordinary clients of the platform. */
final class Crowd {

    /** Connections that ask at the same moment ("hundreds of requests at once"), and the length of a body in bytes. */
    private static final int AT_ONCE = 200;

    private static final int ROUNDS = 3;

    private static final int BODY_BYTES = 250_000;
    /** A request that has no answer this long after its time is lost. */
    private static final double LOST_AFTER = 0.5;

    private static final double LISTING_SECONDS = 10;
    private static final double LOOKUP_SECONDS = 4;
    private static final List<String> VIOLATIONS = new CopyOnWriteArrayList<>();
    private static final Map<String, Integer> COUNTS = new TreeMap<>();

    private Crowd() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        Stand.Fleet fleet = new Stand.Fleet();
        for (int number = 1; number <= 2; number++) {
            fleet.add("reader-" + number, "prompt", 1, Stand.reader(0.5));
            fleet.add("writer-" + number, "answer", 1, responsesWriter());
        }
        Stand.Discovery discovery = new Stand.Discovery(fleet);
        Stand.Gateway gateway = new Stand.Gateway("n0", discovery, Stand.temporaryFolder());
        gateway.environment.put("CHAT_KEY", "secret");
        gateway.apply("[keys.CHAT_KEY]\ntenant = \"salamanca-pages\"\n[models.shelf-listing]\nclass = \"listing\"\n"
                + "[generations.new]\nformat = \"responses\"\n");
        gateway.start();
        String body = body();
        Stand.log("a body has " + body.length() + " bytes");
        Thread ordinary = Stand.start(() -> ordinaryClients(gateway));
        if (Stand.TROUBLE) {
            for (int round = 0; round < ROUNDS; round++) {
                atOnce(gateway, body);
            }
        } else {
            for (int number = 0; number < 8; number++) {
                listing(gateway, body, new CountDownLatch(1), new CountDownLatch(0));
            }
        }
        ordinary.join();
        Stand.log("answers " + COUNTS);
        long memoryErrors = Files.readAllLines(gateway.log).stream()
                .filter(line -> line.contains("OutOfMemoryError"))
                .count();
        Stand.log("for information: lines of the gateway's log with OutOfMemoryError: " + memoryErrors);
        Stand.log("gateway alive " + gateway.process.isAlive());
        if (!gateway.process.isAlive()) {
            VIOLATIONS.add("the gateway ended");
        }
        Stand.verdict(VIOLATIONS);
    }

    /** A long conversation of short messages, as a shop's chat has them. */
    private static String body() {
        StringBuilder body = new StringBuilder("{\"model\":\"shelf-listing\",\"stream\":false,\"messages\":[");
        while (body.length() < BODY_BYTES) {
            body.append("{\"role\":\"user\",\"content\":\"ok\"},");
            body.append("{\"role\":\"assistant\",\"content\":\"yes\"},");
        }
        return body.append("{\"role\":\"user\",\"content\":\"list one\"}]}").toString();
    }

    private static void atOnce(Stand.Gateway gateway, String body) throws InterruptedException {
        CountDownLatch ready = new CountDownLatch(AT_ONCE);
        CountDownLatch go = new CountDownLatch(1);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < AT_ONCE; number++) {
            clients.add(Stand.start(() -> listing(gateway, body, ready, go)));
        }
        ready.await();
        Stand.log(AT_ONCE + " clients ask at once");
        go.countDown();
        for (Thread client : clients) {
            client.join();
        }
    }

    /** Asks for the models first, so that the connection has been answered before, then for a listing. */
    private static void listing(Stand.Gateway gateway, String body, CountDownLatch ready, CountDownLatch go)
            throws Exception {
        String id = Stand.newId();
        try (Socket socket = new Socket()) {
            InputStream in;
            try {
                socket.connect(new InetSocketAddress(Stand.HOST, gateway.chatPort), 5000);
                socket.setSoTimeout((int) ((LISTING_SECONDS + LOST_AFTER) * 1000));
                in = new BufferedInputStream(socket.getInputStream());
                Stand.write(
                        socket.getOutputStream(),
                        "GET /v1/models HTTP/1.1\r\nHost: shop.local\r\nAuthorization: Bearer secret\r\n\r\n");
                Stand.Message models = Stand.read(in);
                if (models == null || models.status() != 200) {
                    throw new IOException("no list of models");
                }
            } catch (IOException e) {
                count("not connected");
                ready.countDown();
                return;
            }
            ready.countDown();
            go.await();
            ask(socket, in, id, body);
        }
    }

    private static void ask(Socket socket, InputStream in, String id, String body) {
        double sentAt;
        try {
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions HTTP/1.1\r\nHost: shop.local\r\nAuthorization: Bearer secret\r\n"
                                    + "Content-Type: application/json\r\nContent-Length: " + body.length()
                                    + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // Not sent in full, so not taken.
            count("not sent");
            Stand.log("listing " + id + " not sent in full: " + e.getMessage());
            return;
        }
        sentAt = Stand.now();
        try {
            Stand.Message answer = Stand.read(in);
            if (answer == null) {
                lost("listing " + id + " was sent in full, and its connection ended without an answer after "
                        + (Stand.now() - sentAt) + " s");
                count("ended without an answer");
            } else {
                count(Integer.toString(answer.status()));
                Stand.log("listing " + id + " " + answer.status());
            }
        } catch (SocketTimeoutException e) {
            lost("listing " + id + " has no answer " + LOST_AFTER + " s after its time");
            count("no answer in time");
        } catch (SocketException e) {
            // A reset may mean that the request was not read.
            count("reset");
            Stand.log("listing " + id + " reset");
        } catch (IOException e) {
            count("broken answer");
            Stand.log("listing " + id + " " + e);
        }
    }

    /** Sends a lookup each half second, on a connection that has been answered before, for 25 s. */
    private static void ordinaryClients(Stand.Gateway gateway) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            clients.add(Stand.start(() -> lookup(gateway)));
            Stand.sleep(0.5);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static void lookup(Stand.Gateway gateway) {
        String id = Stand.newId();
        String request = Stand.platformRequest(id, "lookup", LOOKUP_SECONDS, Stand.platformBody(200));
        boolean sent = false;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Stand.HOST, gateway.port), 5000);
            socket.setSoTimeout((int) ((LOOKUP_SECONDS + LOST_AFTER) * 1000));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stand.write(socket.getOutputStream(), "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            Stand.Message up = Stand.read(in);
            if (up == null || up.status() != 200) {
                throw new IOException("not up");
            }
            Stand.write(socket.getOutputStream(), request);
            sent = true;
            Stand.Message answer = Stand.read(in);
            end = answer == null ? "ended without an answer" : Integer.toString(answer.status());
            if (answer == null) {
                lost("lookup " + id + " of an ordinary client: its connection ended without an answer");
            }
        } catch (SocketTimeoutException e) {
            end = "no answer in time";
            if (sent) {
                lost("lookup " + id + " of an ordinary client has no answer " + LOST_AFTER + " s after its time");
            }
        } catch (IOException e) {
            end = e.getMessage();
        }
        count("lookup " + (sent ? "" : "not sent, ") + end);
        Stand.log("lookup " + id + " sent=" + sent + " " + end);
    }

    private static void lost(String text) {
        VIOLATIONS.add(text);
    }

    private static void count(String what) {
        synchronized (COUNTS) {
            COUNTS.merge(what, 1, Integer::sum);
        }
    }

    /** A writer of the newer format for requests to its path, of the platform's for the others. */
    private static Stand.Behaviour responsesWriter() {
        return (engine, request, socket, out) -> {
            if (!request.path().equals("/v1/responses")) {
                Stand.writer(0.05, 3, 0.02).serve(engine, request, socket, out);
                return;
            }
            if (engine.fleet.states.remove(request.id()) == null) {
                Stand.write(out, Stand.answer(410, "X-Not-Processed: 1\r\n", ""));
                return;
            }
            Stand.log(engine.name + " runs " + request.id());
            Stand.sleep(0.05);
            Stand.write(out, Stand.STREAM_HEAD);
            Stand.write(out, Stand.chunk(Stand.responsesEvents("listed")) + Stand.LAST_CHUNK);
        };
    }
}

package review2;

import java.util.concurrent.CountDownLatch;

/** Many long chat requests at once, which are translated, beside ordinary clients of the platform. */
final class Crowd {

    /** "hundreds of requests at once"; under a third of the 1,024 descriptors. */
    private static final int AT_ONCE = 200;

    private static final int ROUNDS = 6;
    /** Under the 256 KiB of the protocol. */
    private static final int BODY_BYTES = 250_000;

    private static final double LISTING_SECONDS = 10;
    /** No burst begins later, so that the case ends in time. */
    private static final double LAST_ROUND_AT = 45;

    private Crowd() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        Stand.Fleet fleet = new Stand.Fleet();
        for (int number = 1; number <= 2; number++) {
            fleet.add("reader-" + number, "prompt", 1, Stand.reader(0.5));
            fleet.add("writer-" + number, "answer", 1, responsesWriter());
        }
        Stand.Gateway gateway = new Stand.Gateway("n0", new Stand.Discovery(fleet), Stand.temporaryFolder());
        gateway.environment.put("CHAT_KEY", "secret");
        gateway.apply("[keys.CHAT_KEY]\ntenant = \"salamanca-pages\"\n[models.shelf-listing]\nclass = \"listing\"\n"
                + "[generations.new]\nformat = \"responses\"\n");
        gateway.start();
        String body = body();
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: shop.local\r\nAuthorization: Bearer secret\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        Ordinary ordinary = new Ordinary();
        ordinary.start(gateway);
        Burst burst = new Burst(gateway.chatPort, () -> request, LISTING_SECONDS + 0.5, ordinary);
        for (int round = 0; round < ROUNDS && Stand.now() < LAST_ROUND_AT; round++) {
            if (Stand.TROUBLE) {
                burst.atOnce(AT_ONCE);
            } else {
                burst.one(new CountDownLatch(1), new CountDownLatch(0));
            }
        }
        Stand.sleep(10);
        ordinary.stop();
        ordinary.checkAlive(gateway, "platform's front", gateway.port, Ordinary.UP);
        ordinary.checkAlive(
                gateway,
                "chat front",
                gateway.chatPort,
                "GET /v1/models HTTP/1.1\r\nHost: shop.local\r\nAuthorization: Bearer secret\r\n\r\n");
        ordinary.recordProcess(gateway);
        Stand.verdict(ordinary.violations);
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

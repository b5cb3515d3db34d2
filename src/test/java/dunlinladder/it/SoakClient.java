package dunlinladder.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client of the soak. It sends one request after another on one connection. Except for random shares of the requests
 * and answers, it keeps the connection as long as the gateway does, also after SIGTERM until the gateway's process
 * ends. Then it opens a new connection.
 */
final class SoakClient {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MILLIS_PER_SECOND = 1000;
    /** Share of the requests whose client closes the connection before the deadline. */
    private static final double EARLY_CLOSE_SHARE = 0.08;
    /** Share of the complete answers after which the client opens a new connection. */
    private static final double NEW_CONNECTION_SHARE = 0.1;

    private static final double MAX_REQUEST_GAP_SECONDS = 0.2;
    /** Time that a client waits for the next part of a stream that has begun; longer than the specification allows. */
    private static final double STREAM_WAIT_SECONDS = 6;
    /** Share of the requests whose client has left that come once more, with the same id. */
    private static final double REPEAT_SHARE = 0.5;

    private static final double REPEAT_DELAY_SECONDS = 0.05;
    private static final String CLOSING_EVENT = "data: [DONE]\n\n";

    /** Time that a client waits after the deadline; an answer that has not come by then counts as lost. */
    private static final double WAIT_AFTER_DEADLINE_SECONDS = 1;

    private final SoakFleet fleet;
    private final SoakRecord record;
    private final Random random;
    private final long end;
    private final String idPrefix;
    private final AtomicLong requestCount;
    private TestClient connection;
    private int gateway;

    /**
     * Creates a client that sends requests until {@code end}, a time by {@link System#nanoTime}.
     *
     * @param idPrefix first part of its request ids; the next value of {@code requestCount} is the second part
     */
    SoakClient(SoakFleet fleet, Random random, long end, String idPrefix, AtomicLong requestCount) {
        this.fleet = fleet;
        this.record = fleet.record;
        this.random = random;
        this.end = end;
        this.idPrefix = idPrefix;
        this.requestCount = requestCount;
    }

    void run() {
        while (System.nanoTime() < end) {
            boolean reused = connection != null;
            if (reused || connect()) {
                sendAndRecord(drawRequest(), reused);
            }
            SoakFaults.sleep(MAX_REQUEST_GAP_SECONDS * random.nextDouble());
        }
        disconnect();
    }

    /** Opens a connection to a random gateway; returns false if it is not running or does not accept the connection. */
    private boolean connect() {
        SoakFleet.Gateway chosen = fleet.randomGateway(random);
        SoakProcess process = chosen.process;
        if (process == null) {
            return false;
        }
        try {
            connection = new TestClient(process.port);
            gateway = chosen.number;
            return true;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // The connection has ended already.
        }
        connection = null;
    }

    private SoakRecord.Sent drawRequest() {
        boolean listing = random.nextBoolean();
        double timeout = fleet.plan.drawRequestDeadline(listing, random);
        double leavesAfterSeconds = random.nextDouble() < EARLY_CLOSE_SHARE ? timeout * random.nextDouble() : 0;
        long now = System.nanoTime();
        return new SoakRecord.Sent(
                idPrefix + String.format("%08x", requestCount.getAndIncrement()),
                gateway,
                listing,
                now,
                (long) (timeout * NANOS_PER_SECOND),
                leavesAfterSeconds > 0 ? now + (long) (leavesAfterSeconds * NANOS_PER_SECOND) : Long.MAX_VALUE);
    }

    private void sendAndRecord(SoakRecord.Sent sent, boolean reused) {
        record.sent.put(sent.id(), sent);
        SoakProcess process = fleet.gateways.get(gateway).process;
        SoakRecord.Answer answer = exchange(sent);
        // Platform protocol specification: if the gateway closes the connection without having read a request that is
        // on its way, the client sends the request once more on a new connection.
        boolean unreadByGateway = answer.status() == SoakRecord.NO_ANSWER
                && reused
                && answer.endedAt() < sent.leavesAt()
                && !record.wasForwardedBefore(sent.id(), answer.endedAt());
        if (!unreadByGateway || !reconnect()) {
            record.answers.add(answer);
            repeatAfterLeaving(sent, process);
            return;
        }
        if (System.nanoTime() >= sent.leavesAt()) {
            // The client has left in the meantime, and no gateway has read its request.
            disconnect();
            return;
        }
        SoakRecord.Sent resent = new SoakRecord.Sent(
                sent.id(), gateway, sent.listing(), System.nanoTime(), sent.timeoutNanos(), sent.leavesAt());
        record.sent.put(sent.id(), resent);
        record.answers.add(exchange(resent));
    }

    /**
     * Sends some listings once more to the same process, shortly after their client has left. The answer is not
     * checked: a client that has left is owed none. Its attempts count like those of any other request.
     */
    private void repeatAfterLeaving(SoakRecord.Sent sent, SoakProcess process) {
        boolean left = sent.leavesAt() != Long.MAX_VALUE && connection == null;
        double draw = new Random(sent.id().hashCode()).nextDouble();
        if (!left || !sent.listing() || process == null || draw > REPEAT_SHARE) {
            return;
        }
        SoakFaults.sleep(REPEAT_DELAY_SECONDS);
        if (fleet.gateways.get(sent.gateway()).process != process) {
            return;
        }
        try {
            connection = new TestClient(process.port);
            long now = System.nanoTime();
            SoakRecord.Sent repeated = new SoakRecord.Sent(
                    sent.id(), sent.gateway(), true, now, sent.timeoutNanos(), now + sent.timeoutNanos());
            record.sent.put(sent.id(), repeated);
            exchange(repeated);
            disconnect();
        } catch (UncheckedIOException e) {
            // The gateway accepts no connection.
        }
    }

    private boolean reconnect() {
        disconnect();
        while (!connect()) {
            if (System.nanoTime() > end + (long) (WAIT_AFTER_DEADLINE_SECONDS * NANOS_PER_SECOND)) {
                return false;
            }
            SoakFaults.sleep(MAX_REQUEST_GAP_SECONDS);
        }
        return true;
    }

    /**
     * Sends a request and waits for its whole answer. The connection stays open if the answer is whole and the gateway
     * keeps the connection, except after a random share of the answers.
     */
    private SoakRecord.Answer exchange(SoakRecord.Sent sent) {
        int status = SoakRecord.NO_ANSWER;
        long answeredAt = 0;
        SoakRecord.Body body = SoakRecord.Body.NONE;
        try {
            boolean leaves = sent.leavesAt() != Long.MAX_VALUE;
            double timeout = sent.timeoutNanos() / NANOS_PER_SECOND;
            double waitSeconds = leaves
                    ? (sent.leavesAt() - sent.sentAt()) / NANOS_PER_SECOND
                    : timeout + WAIT_AFTER_DEADLINE_SECONDS;
            connection.socket.setSoTimeout((int) (waitSeconds * MILLIS_PER_SECOND) + 1);
            connection.send(
                    "POST",
                    "/v1/chat/completions",
                    RunningGateway.platformHeaders(
                            sent.id(), sent.listing() ? "listing" : "lookup", SoakPlan.formatSeconds(timeout)),
                    "plain");
            if (connection.readHead()) {
                status = connection.status;
                answeredAt = System.nanoTime();
                if (!leaves) {
                    connection.socket.setSoTimeout((int) (STREAM_WAIT_SECONDS * MILLIS_PER_SECOND));
                }
                body = readBody();
                boolean closes = "close".equalsIgnoreCase(connection.headers.get("Connection"));
                boolean whole = body.end() != SoakRecord.BodyEnd.CUT;
                if (whole && !closes && random.nextDouble() > NEW_CONNECTION_SHARE) {
                    return new SoakRecord.Answer(sent, status, answeredAt, body);
                }
            }
        } catch (IOException e) {
            // A missing answer is recorded below.
        }
        disconnect();
        long endedAt = status == SoakRecord.NO_ANSWER ? System.nanoTime() : answeredAt;
        return new SoakRecord.Answer(sent, status, endedAt, body);
    }

    private SoakRecord.Body readBody() throws IOException {
        if (connection.headers.containsKey("content-length")) {
            connection.readBody();
            return SoakRecord.Body.NONE;
        }
        StringBuilder text = new StringBuilder();
        long lastReceivedAt = System.nanoTime();
        String chunk = RawHttp.readChunk(connection.socket.getInputStream());
        while (chunk != null && !chunk.isEmpty()) {
            lastReceivedAt = System.nanoTime();
            text.append(chunk);
            chunk = RawHttp.readChunk(connection.socket.getInputStream());
        }
        return new SoakRecord.Body(endOf(text, chunk != null), lastReceivedAt, System.nanoTime());
    }

    private static SoakRecord.BodyEnd endOf(StringBuilder text, boolean lastChunkReceived) {
        if (!lastChunkReceived) {
            return SoakRecord.BodyEnd.CUT;
        }
        boolean closed = text.length() >= CLOSING_EVENT.length()
                && text.substring(text.length() - CLOSING_EVENT.length()).equals(CLOSING_EVENT);
        return closed ? SoakRecord.BodyEnd.WHOLE : SoakRecord.BodyEnd.TRUNCATED;
    }
}

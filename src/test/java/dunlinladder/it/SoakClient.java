package dunlinladder.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One client of the soak: asks one request after the other on a connection that it keeps for as long as the gateway
 * lets it, past SIGTERM up to the end of the process, and connects anew then.
 */
final class SoakClient {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final double LEAVING_SHARE = 0.08;
    private static final double NEW_CONNECTION_SHARE = 0.1;
    private static final double MAX_THINKING_SECONDS = 0.2;
    /** Behind the deadline: an answer is lost by then. */
    private static final double PATIENCE_SECONDS = 1;

    private final SoakFleet fleet;
    private final SoakRecord record;
    private final Random random;
    private final long end;
    private final String idPrefix;
    private final AtomicLong count;
    private TestClient connection;
    private int gateway;

    /**
     * Creates a client that asks until {@code end}.
     *
     * @param idPrefix begins the ids of its requests, {@code count} goes on with them
     */
    SoakClient(SoakFleet fleet, Random random, long end, String idPrefix, AtomicLong count) {
        this.fleet = fleet;
        this.record = fleet.record;
        this.random = random;
        this.end = end;
        this.idPrefix = idPrefix;
        this.count = count;
    }

    void run() {
        while (System.nanoTime() < end) {
            boolean kept = connection != null;
            if (kept || connect()) {
                ask(draw(), kept);
            }
            SoakFaults.pause(MAX_THINKING_SECONDS * random.nextDouble());
        }
        disconnect();
    }

    /** Opens a connection to any gateway that runs; false where it was not let in. */
    private boolean connect() {
        SoakFleet.Gateway chosen = fleet.anyGateway(random);
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
            // It has ended already.
        }
        connection = null;
    }

    private SoakRecord.Sent draw() {
        boolean listing = random.nextBoolean();
        double timeout = fleet.plan.deadlineOf(listing, random);
        double leaves = random.nextDouble() < LEAVING_SHARE ? timeout * random.nextDouble() : 0;
        long now = System.nanoTime();
        return new SoakRecord.Sent(
                idPrefix + String.format("%08x", count.getAndIncrement()),
                gateway,
                listing,
                now,
                (long) (timeout * NANOS_PER_SECOND),
                leaves > 0 ? now + (long) (leaves * NANOS_PER_SECOND) : Long.MAX_VALUE);
    }

    private void ask(SoakRecord.Sent sent, boolean kept) {
        record.sent.put(sent.id(), sent);
        SoakRecord.Answer answer = exchange(sent);
        // Protocol: "If that close crosses a request that the gateway has not read, the client sends the request once
        // more on a new connection."
        boolean crossed = answer.status() == SoakRecord.NO_ANSWER
                && kept
                && answer.endedAt() < sent.leavesAt()
                && !record.wasForwardedBefore(sent.id(), answer.endedAt());
        if (!crossed || !reconnect()) {
            record.answers.add(answer);
            return;
        }
        SoakRecord.Sent again = new SoakRecord.Sent(
                sent.id(), gateway, sent.listing(), System.nanoTime(), sent.timeoutNanos(), sent.leavesAt());
        record.sent.put(sent.id(), again);
        record.answers.add(exchange(again));
    }

    private boolean reconnect() {
        disconnect();
        while (!connect()) {
            if (System.nanoTime() > end + (long) (PATIENCE_SECONDS * NANOS_PER_SECOND)) {
                return false;
            }
            SoakFaults.pause(MAX_THINKING_SECONDS);
        }
        return true;
    }

    /** Sends a request and waits for its whole answer; the connection is kept where the gateway does. */
    private SoakRecord.Answer exchange(SoakRecord.Sent sent) {
        int status = SoakRecord.NO_ANSWER;
        long answeredAt = 0;
        try {
            boolean leaves = sent.leavesAt() != Long.MAX_VALUE;
            double timeout = sent.timeoutNanos() / NANOS_PER_SECOND;
            double wait = leaves ? (sent.leavesAt() - sent.sentAt()) / NANOS_PER_SECOND : timeout + PATIENCE_SECONDS;
            connection.socket.setSoTimeout((int) (wait * MILLIS_PER_SECOND) + 1);
            connection.send(
                    "POST",
                    "/v1/chat/completions",
                    RunningGateway.platformHeaders(
                            sent.id(), sent.listing() ? "listing" : "lookup", SoakPlan.text(timeout)),
                    "plain");
            if (connection.readHead()) {
                status = connection.status;
                answeredAt = System.nanoTime();
                boolean whole = !connection.readBody().endsWith("(cut)");
                boolean closes = "close".equalsIgnoreCase(connection.headers.get("Connection"));
                if (whole && !closes && random.nextDouble() > NEW_CONNECTION_SHARE) {
                    return new SoakRecord.Answer(sent, status, answeredAt);
                }
            }
        } catch (IOException e) {
            // Told by the answer that is missing.
        }
        disconnect();
        return new SoakRecord.Answer(sent, status, status == SoakRecord.NO_ANSWER ? System.nanoTime() : answeredAt);
    }
}

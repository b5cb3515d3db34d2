package dunlinladder.it;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Prints a table of runs in which decode engines become silent or slow under a steady load of one service class. The
 * table shows how long KV caches are held, and which answers the clients get. Each run has one gateway, two prefill
 * engines and four decode engines. {@code make silence-table} prints the table.
 */
final class SilenceTable {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double REQUESTS_PER_SECOND = 25;
    private static final double TRAFFIC_SECONDS = 6;
    private static final double SILENT_AT_SECONDS = 2.5;
    private static final double SETTLE_SECONDS = 1.5;
    private static final double LOOKUP_DEADLINE_SECONDS = 4;
    private static final double LISTING_DEADLINE_SECONDS = 9.5;
    private static final int ENGINES = 6;
    private static final int PERMANENT = 0;

    /**
     * One row of the table.
     *
     * @param listing whether the requests are listings, which must not run twice; otherwise they are lookups
     * @param silence how the engines become silent, null for engines that send their first tokens late
     * @param engines number of decode engines that become silent or slow
     * @param seconds duration of the silence, {@link #PERMANENT} if it does not end
     */
    private record Row(boolean listing, SoakSilence silence, int engines, double seconds) {

        String title() {
            return (listing ? "unsafe" : "safe") + ", " + engines + " "
                    + (silence == null ? "slow" : silence.toString().toLowerCase(Locale.ROOT))
                    + (seconds > PERMANENT ? " for " + seconds + " s" : "");
        }
    }

    private static final List<Row> ROWS = List.of(
            new Row(true, SoakSilence.CUT_OFF, 1, PERMANENT),
            new Row(true, SoakSilence.FROZEN, 1, PERMANENT),
            new Row(true, SoakSilence.CUT_OFF, 1, 3),
            new Row(true, SoakSilence.FROZEN, 2, PERMANENT),
            new Row(true, SoakSilence.CUT_OFF, 3, 3),
            new Row(true, SoakSilence.CUT_OFF, 4, PERMANENT),
            new Row(false, SoakSilence.CUT_OFF, 4, PERMANENT),
            new Row(false, SoakSilence.CUT_OFF, 4, 3),
            new Row(false, SoakSilence.CUT_OFF, 1, PERMANENT),
            new Row(false, SoakSilence.FROZEN, 1, PERMANENT),
            new Row(true, null, 4, PERMANENT),
            new Row(false, null, 4, PERMANENT));

    private final Row row;
    private final SoakRecord record = new SoakRecord();
    private final SoakPlan plan = new SoakPlan(1, ENGINES, LOOKUP_DEADLINE_SECONDS, LISTING_DEADLINE_SECONDS, 0, 0, 0);

    private SilenceTable(Row row) {
        this.row = row;
    }

    /** Prints the table. Optional argument: a folder with the gateways' classes, to run gateways of another build. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String classPath = SoakProcess.classPathWith(args.length > 0 ? args[0] : "");
        System.out.println("| class, what happens | held over 0.8 s | longest, s | answers | 410s | alarms |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (Row row : ROWS) {
            System.out.println(new SilenceTable(row).run(classPath));
        }
        System.exit(0);
    }

    private String run(String classPath) throws IOException, InterruptedException {
        try (SoakFleet fleet = new SoakFleet(record, 1, plan, classPath)) {
            long start = System.nanoTime();
            Thread faults = new Thread(() -> injectFault(fleet, start));
            faults.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < TRAFFIC_SECONDS * REQUESTS_PER_SECOND; i++) {
                String id = String.format("%016x", i + 1);
                Thread client = new Thread(() -> sendRequest(fleet, id));
                client.start();
                clients.add(client);
                SoakFaults.sleep(1 / REQUESTS_PER_SECOND);
            }
            for (Thread client : clients) {
                client.join();
            }
            SoakFaults.sleep(SETTLE_SECONDS);
            return tableRow(new SoakOracle(record, System.nanoTime()));
        }
    }

    private void injectFault(SoakFleet fleet, long start) {
        SoakFaults.sleep(SILENT_AT_SECONDS - (System.nanoTime() - start) / NANOS_PER_SECOND);
        List<SoakFleet.Engine> chosen = fleet.engines.stream()
                .filter(engine -> !engine.prefills)
                .limit(row.engines)
                .toList();
        if (row.silence == null) {
            chosen.forEach(engine -> engine.process.writeLine(SoakEngine.Mode.SLOW.name()));
            return;
        }
        chosen.forEach(row.silence::begin);
        if (row.seconds > PERMANENT) {
            SoakFaults.sleep(row.seconds);
            chosen.forEach(row.silence::end);
        }
    }

    private void sendRequest(SoakFleet fleet, String id) {
        double timeout = row.listing ? LISTING_DEADLINE_SECONDS : LOOKUP_DEADLINE_SECONDS;
        SoakRecord.Sent sent = new SoakRecord.Sent(
                id, 0, row.listing, System.nanoTime(), (long) (timeout * NANOS_PER_SECOND), Long.MAX_VALUE);
        record.sent.put(id, sent);
        String serviceClass = row.listing ? "listing" : "lookup";
        try (TestClient client = new TestClient(fleet.gateways.get(0).process.port)) {
            client.send(
                    "POST",
                    "/v1/chat/completions",
                    RunningGateway.platformHeaders(id, serviceClass, SoakPlan.formatSeconds(timeout)),
                    "plain");
            int status = client.readHead() ? client.status : SoakRecord.NO_ANSWER;
            record.answers.add(new SoakRecord.Answer(sent, status, System.nanoTime(), SoakRecord.Body.NONE));
            client.readBody();
        } catch (IOException e) {
            record.answers.add(
                    new SoakRecord.Answer(sent, SoakRecord.NO_ANSWER, System.nanoTime(), SoakRecord.Body.NONE));
        }
    }

    private String tableRow(SoakOracle oracle) {
        List<String> violations = oracle.violations();
        long heldTooLong =
                violations.stream().filter(line -> line.startsWith("pinned")).count();
        long missing = record.events.stream()
                .filter(event -> event.kind() == SoakEvent.Kind.DECODE_MISSING)
                .count();
        Map<Integer, Long> answers = record.answers.stream()
                .collect(Collectors.groupingBy(SoakRecord.Answer::status, TreeMap::new, Collectors.counting()));
        long others = violations.size() - heldTooLong - record.alarms.size();
        return "| " + row.title() + " | " + heldTooLong + " of " + record.sent.size() + " | "
                + SoakPlan.formatSeconds(oracle.longestHeldSeconds()) + " | " + answers
                + (others > 0 ? ", others " + others : "")
                + " | " + missing + " | " + record.alarms.size() + " |";
    }
}

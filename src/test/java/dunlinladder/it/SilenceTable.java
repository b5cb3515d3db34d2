package dunlinladder.it;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Decode engines fall silent, or become slow, under a steady load of one class: how long KV caches are held, and what
 * the clients get. One gateway, two prefill and four decode engines. {@code make silence-table} prints it.
 */
final class SilenceTable {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double REQUESTS_PER_SECOND = 25;
    private static final double TRAFFIC_SECONDS = 6;
    private static final double SILENT_AT_SECONDS = 2.5;
    private static final double SETTLE_SECONDS = 1.5;
    private static final double LOOKUP_SECONDS = 4;
    private static final double LISTING_SECONDS = 9.5;
    private static final int ENGINES = 6;
    private static final int FOR_GOOD = 0;

    /**
     * One row.
     *
     * @param silence null for engines that bring their first tokens late
     * @param seconds after which they go on, {@link #FOR_GOOD} for never
     */
    private record Row(boolean listing, SoakSilence silence, int engines, double seconds) {

        String title() {
            return (listing ? "unsafe" : "safe") + ", " + engines + " "
                    + (silence == null ? "slow" : silence.toString().toLowerCase(Locale.ROOT))
                    + (seconds > FOR_GOOD ? " for " + seconds + " s" : "");
        }
    }

    private static final List<Row> ROWS = List.of(
            new Row(true, SoakSilence.CUT_OFF, 1, FOR_GOOD),
            new Row(true, SoakSilence.FROZEN, 1, FOR_GOOD),
            new Row(true, SoakSilence.CUT_OFF, 1, 3),
            new Row(true, SoakSilence.FROZEN, 2, FOR_GOOD),
            new Row(true, SoakSilence.CUT_OFF, 3, 3),
            new Row(true, SoakSilence.CUT_OFF, 4, FOR_GOOD),
            new Row(false, SoakSilence.CUT_OFF, 4, FOR_GOOD),
            new Row(false, SoakSilence.CUT_OFF, 4, 3),
            new Row(false, SoakSilence.CUT_OFF, 1, FOR_GOOD),
            new Row(false, SoakSilence.FROZEN, 1, FOR_GOOD),
            new Row(true, null, 4, FOR_GOOD),
            new Row(false, null, 4, FOR_GOOD));

    private final Row row;
    private final SoakRecord record = new SoakRecord();
    private final SoakPlan plan = new SoakPlan(1, ENGINES, LOOKUP_SECONDS, LISTING_SECONDS, 0, 0, 0);

    private SilenceTable(Row row) {
        this.row = row;
    }

    /** Argument, if any: a folder with the gateways' classes where these are another build's. */
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
            Thread faults = new Thread(() -> bringAbout(fleet, start));
            faults.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < TRAFFIC_SECONDS * REQUESTS_PER_SECOND; i++) {
                String id = String.format("%016x", i + 1);
                Thread client = new Thread(() -> ask(fleet, id));
                client.start();
                clients.add(client);
                SoakFaults.pause(1 / REQUESTS_PER_SECOND);
            }
            for (Thread client : clients) {
                client.join();
            }
            SoakFaults.pause(SETTLE_SECONDS);
            return text(new SoakOracle(record, System.nanoTime()));
        }
    }

    private void bringAbout(SoakFleet fleet, long start) {
        SoakFaults.pause(SILENT_AT_SECONDS - (System.nanoTime() - start) / NANOS_PER_SECOND);
        List<SoakFleet.Engine> chosen = fleet.engines.stream()
                .filter(engine -> !engine.prefills)
                .limit(row.engines)
                .toList();
        if (row.silence == null) {
            chosen.forEach(engine -> engine.process.tell(SoakEngine.Mode.SLOW.name()));
            return;
        }
        chosen.forEach(row.silence::begin);
        if (row.seconds > FOR_GOOD) {
            SoakFaults.pause(row.seconds);
            chosen.forEach(row.silence::end);
        }
    }

    private void ask(SoakFleet fleet, String id) {
        double timeout = row.listing ? LISTING_SECONDS : LOOKUP_SECONDS;
        SoakRecord.Sent sent = new SoakRecord.Sent(
                id, 0, row.listing, System.nanoTime(), (long) (timeout * NANOS_PER_SECOND), Long.MAX_VALUE);
        record.sent.put(id, sent);
        String serviceClass = row.listing ? "listing" : "lookup";
        try (TestClient client = new TestClient(fleet.gateways.get(0).process.port)) {
            client.send(
                    "POST",
                    "/v1/chat/completions",
                    RunningGateway.platformHeaders(id, serviceClass, SoakPlan.text(timeout)),
                    "plain");
            int status = client.readHead() ? client.status : SoakRecord.NO_ANSWER;
            record.answers.add(new SoakRecord.Answer(sent, status, System.nanoTime()));
            client.readBody();
        } catch (IOException e) {
            record.answers.add(new SoakRecord.Answer(sent, SoakRecord.NO_ANSWER, System.nanoTime()));
        }
    }

    private String text(SoakOracle oracle) {
        List<String> violations = oracle.violations();
        long held =
                violations.stream().filter(line -> line.startsWith("pinned")).count();
        long missing = record.events.stream()
                .filter(event -> event.kind() == SoakEvent.Kind.DECODE_MISSING)
                .count();
        Map<Integer, Long> answers = record.answers.stream()
                .collect(Collectors.groupingBy(SoakRecord.Answer::status, TreeMap::new, Collectors.counting()));
        long others = violations.size() - held - record.alarms.size();
        return "| " + row.title() + " | " + held + " of " + record.sent.size() + " | "
                + SoakPlan.text(oracle.longestHeldSeconds()) + " | " + answers
                + (others > 0 ? ", others " + others : "")
                + " | " + missing + " | " + record.alarms.size() + " |";
    }
}

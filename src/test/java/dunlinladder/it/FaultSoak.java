package dunlinladder.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fleet of real processes under faults that overlap, drawn by a seed, with the rules as the oracle. {@code make
 * fault-soak} runs it for many seeds; a seed that breaks a rule leaves its record and its logs.
 */
final class FaultSoak {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double TRAFFIC_SECONDS = 6;
    /** Behind the last deadline: what engines and gateways need for what is held then. */
    private static final double SETTLE_SECONDS = 1.5;

    private static final double MIN_FAULT_SECONDS = 0.2;
    private static final double FAULT_SPREAD_SECONDS = 2.5;
    private static final int CLIENTS_PER_GATEWAY = 5;
    /** A fresh JVM is slow with its first requests; faults begin behind them. */
    private static final double WARM_UP_SECONDS = 1;

    private static final int SHOWN_VIOLATIONS = 8;

    private final long seed;
    private final String gatewayClassPath;
    private final Random random;
    private final SoakRecord record = new SoakRecord();

    /** Prepares the run of a seed, with the gateways' classes on this path. */
    FaultSoak(long seed, String gatewayClassPath) {
        this.seed = seed;
        this.gatewayClassPath = gatewayClassPath;
        this.random = new Random(seed);
    }

    /**
     * Arguments: the first seed, how many of them, the folder for records; and a folder with the gateways' classes
     * where these are another build's. Exits with 1 where a rule was broken.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        long first = Long.parseLong(args[0]);
        int seeds = Integer.parseInt(args[1]);
        Path folder = Path.of(args[2]);
        String classPath = SoakProcess.classPathWith(args.length > 3 ? args[3] : "");
        int broken = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            broken += new FaultSoak(seed, classPath).run(folder) ? 0 : 1;
        }
        System.out.println("seeds " + seeds + ", with violations " + broken);
        System.exit(broken == 0 ? 0 : 1);
    }

    /** Runs the seed; true where no rule was broken. */
    boolean run(Path folder) throws IOException, InterruptedException {
        SoakPlan plan = SoakPlan.draw(random);
        try (SoakFleet fleet = new SoakFleet(record, seed, plan, gatewayClassPath)) {
            List<TestClient> crowd = gatherCrowd(fleet);
            ExecutorService workers = Executors.newCachedThreadPool(FaultSoak::daemon);
            long end = System.nanoTime() + (long) (TRAFFIC_SECONDS * NANOS_PER_SECOND);
            fleet.end = end;
            for (int i = 0; i < plan.faultThreads(); i++) {
                Random own = new Random(random.nextLong());
                workers.execute(() -> bringAboutFaults(fleet, own, end));
            }
            AtomicLong count = new AtomicLong();
            for (int i = 0; i < CLIENTS_PER_GATEWAY * plan.gateways(); i++) {
                SoakClient client =
                        new SoakClient(fleet, new Random(random.nextLong()), end, String.format("%08x", seed), count);
                workers.execute(client::run);
            }
            workers.shutdown();
            workers.awaitTermination(
                    (long) (TRAFFIC_SECONDS + plan.longestDeadline() + SETTLE_SECONDS), TimeUnit.SECONDS);
            SoakFaults.pause(SETTLE_SECONDS);
            List<String> violations = new SoakOracle(record, System.nanoTime()).violations();
            report(plan, violations);
            if (!violations.isEmpty()) {
                keep(folder, fleet, plan, violations);
            }
            for (TestClient client : crowd) {
                client.close();
            }
            return violations.isEmpty();
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    }

    private static List<TestClient> gatherCrowd(SoakFleet fleet) {
        List<TestClient> crowd = new ArrayList<>();
        for (SoakFleet.Gateway gateway : fleet.gateways) {
            for (int i = 0; i < fleet.plan.crowd(); i++) {
                crowd.add(new TestClient(gateway.process.port));
            }
        }
        return crowd;
    }

    private void bringAboutFaults(SoakFleet fleet, Random own, long end) {
        SoakFaults faults = new SoakFaults(fleet, own);
        SoakFaults.Kind[] kinds = SoakFaults.Kind.values();
        SoakFaults.pause(WARM_UP_SECONDS);
        while (System.nanoTime() < end) {
            try {
                double seconds = MIN_FAULT_SECONDS + FAULT_SPREAD_SECONDS * own.nextDouble();
                faults.bringAbout(kinds[own.nextInt(kinds.length)], seconds);
                SoakFaults.pause(MIN_FAULT_SECONDS);
            } catch (IOException | UncheckedIOException e) {
                record.alarms.add("a fault could not be brought about: " + e);
            }
        }
    }

    private void report(SoakPlan plan, List<String> violations) {
        long served =
                record.answers.stream().filter(answer -> answer.status() == 200).count();
        System.out.println("seed " + seed + " processes " + (plan.gateways() + plan.engines()) + " crowd "
                + plan.crowd() + " requests " + record.sent.size() + " served " + served + " faults "
                + record.faults.size() + " ends " + record.ends + " violations " + violations.size());
        violations.stream().limit(SHOWN_VIOLATIONS).forEach(line -> System.out.println("  " + line));
    }

    private void keep(Path folder, SoakFleet fleet, SoakPlan plan, List<String> violations) throws IOException {
        Files.createDirectories(folder);
        List<String> lines = new ArrayList<>(violations);
        lines.add(plan.toString());
        lines.addAll(record.faults);
        record.gatewayEnds.forEach(gatewayEnd -> lines.add(gatewayEnd.toString()));
        record.answers.forEach(answer -> lines.add(answer.toString()));
        record.events.forEach(event -> lines.add(event.line()));
        lines.addAll(fleet.logs);
        Files.write(folder.resolve("seed-" + seed + ".txt"), lines);
    }
}

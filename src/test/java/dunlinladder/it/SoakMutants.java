package dunlinladder.it;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Tests the soak itself. Each mutant is a copy of the program without the code that enforces one rule, and the oracle
 * has to find the broken rule within a few seeds. {@code make soak-mutants} runs all mutants.
 */
final class SoakMutants {

    private static final int MAX_SEEDS = 10;
    private static final int FIRST_SEED = 1;
    private static final Path SOURCES = Path.of("src/main/java/dunlinladder");
    private static final Path CLASSES = Path.of("target/classes");

    /** A text replacement in a source file. */
    private record Change(String file, String from, String to) {}

    /** Changes to the program, each of which breaks one rule. */
    private enum Mutant {
        WRITTEN_COUNTS_AS_ARRIVED(
                new Change("transport/engine/AttemptProgress.java", "return overdue;", "return false;")),
        NO_RELEASE(new Change(
                "transport/engine/EngineClient.java",
                "        openReleases.incrementAndGet();",
                "        if (true) {\n            return;\n        }\n        openReleases.incrementAndGet();")),
        CLIENT_NOT_ASKED(
                new Change(
                        "core/Dispatcher.java",
                        "        InFlightRequest request = inFlight.get(id);",
                        "        InFlightRequest request = null;"),
                new Change("core/AttemptRunner.java", "request.client().hasDisconnected() || ", ""),
                new Change("transport/engine/EngineCall.java", "client.hasDisconnected() || ", "")),
        GRACE_FORGOTTEN(
                new Change(
                        "routing/EndpointTable.java",
                        "endpoint.lifecycle() == Lifecycle.ACTIVE",
                        "endpoint.lifecycle() != Lifecycle.LEFT"),
                new Change(
                        "core/SendGuard.java",
                        "return engines.accepts(attempt.engine()) ?",
                        "return engines.find(attempt.engine().id()).isPresent() ?")),
        CLOSING_EVENT_NOT_AWAITED(new Change(
                "transport/engine/EngineStreamRelay.java",
                "if (!filter.isTerminated()) {",
                "if (!filter.isTerminated() && pendingBytes < 0) {")),
        PAST_RUNS_FORGOTTEN(new Change(
                "core/RecentRuns.java", "!rule.isUnrestricted() && history.mayHaveRun()", "history.size() < 0")),
        UNSAFE_REQUEST_REPEATED(
                new Change("routing/RetryPolicy.java", "run -> request.has(Idempotence.UNSAFE)", "run -> false"),
                new Change(
                        "routing/RetryPolicy.java",
                        "(prefill || request.has(Idempotence.SAFE))",
                        "(prefill || !request.has(Idempotence.KEYED))"),
                new Change(
                        "routing/RoutingSettings.java",
                        "case UNSAFE -> RerunRule.FORBIDDEN;",
                        "case UNSAFE -> RerunRule.UNRESTRICTED;"));

        private final List<Change> changes;

        Mutant(Change... changes) {
            this.changes = List.of(changes);
        }
    }

    private SoakMutants() {}

    /**
     * Runs the soak on mutants and exits with status 1 if one was not found. Arguments: the folder for records, and the
     * name of the mutant to run; without a name all are run.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        boolean allFound = true;
        for (Mutant mutant : args.length > 1 ? new Mutant[] {Mutant.valueOf(args[1])} : Mutant.values()) {
            Path classes = Path.of("target/mutants", mutant.name());
            compile(mutant, classes);
            int seeds = seedsUntilFound(classes + File.pathSeparator + System.getProperty("java.class.path"), args[0]);
            allFound &= seeds <= MAX_SEEDS;
            System.out.println(mutant + (seeds <= MAX_SEEDS ? " found by seed " + seeds : " NOT FOUND"));
        }
        System.exit(allFound ? 0 : 1);
    }

    /** Returns the number of seeds run until a rule was broken, or one more than {@link #MAX_SEEDS} if none was. */
    private static int seedsUntilFound(String classPath, String folder) throws IOException, InterruptedException {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + MAX_SEEDS; seed++) {
            if (!new FaultSoak(seed, classPath).run(Path.of(folder))) {
                return seed - FIRST_SEED + 1;
            }
        }
        return MAX_SEEDS + 1;
    }

    private static void compile(Mutant mutant, Path classes) throws IOException {
        List<String> files = new ArrayList<>();
        for (Change change : mutant.changes) {
            Path copy = Path.of("target/mutant-sources", mutant.name(), change.file);
            Path original = Files.exists(copy) && files.contains(copy.toString()) ? copy : SOURCES.resolve(change.file);
            String text = Files.readString(original);
            if (!text.contains(change.from)) {
                throw new IOException(change.file + " does not contain: " + change.from);
            }
            Files.createDirectories(copy.getParent());
            Files.writeString(copy, text.replace(change.from, change.to));
            if (!files.contains(copy.toString())) {
                files.add(copy.toString());
            }
        }
        Files.createDirectories(classes);
        List<String> arguments = new ArrayList<>(List.of(
                "-nowarn",
                "-d",
                classes.toString(),
                "-cp",
                CLASSES + File.pathSeparator + System.getProperty("java.class.path")));
        arguments.addAll(files);
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler.run(null, null, null, arguments.toArray(String[]::new)) != 0) {
            throw new IOException("mutant does not compile: " + mutant);
        }
    }
}

package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;

/** The operator's commands: {@code plan} prints the changes that a file would make, {@code apply} makes them. */
final class PlanCommands {

    /** Exit code of a plan without changes. */
    static final int NO_CHANGES = 0;
    /** Exit code of a plan with changes. */
    static final int CHANGES = 2;

    private final Path stateFile;
    private final Map<String, String> environment;
    private final PrintStream out;

    /**
     * Creates the commands.
     *
     * @param stateFile file of the applied state; absent before the first apply
     * @param environment if it names the gateway's configuration, names are checked against that configuration
     * @param out receives the printed output
     */
    PlanCommands(Path stateFile, Map<String, String> environment, PrintStream out) {
        this.stateFile = stateFile;
        this.environment = environment;
        this.out = out;
    }

    /**
     * Prints the changes that a file would make.
     *
     * @param saveTo file for the plan, for a later {@link #apply}; empty if the plan is not saved
     * @return the exit code: {@link #NO_CHANGES} or {@link #CHANGES}
     * @throws InvalidInputException if the file has an error; the message names the key
     */
    int plan(Path file, Optional<Path> saveTo) throws IOException {
        AppliedState current = AppliedState.read(stateFile);
        FlatSettings target = readChecked(file);
        List<String> changes = changes(current.settings(), target);
        changes.forEach(out::println);
        out.println(changes.isEmpty() ? "No changes." : changes.size() + " changes.");
        if (saveTo.isPresent()) {
            SavedPlan.from(current, target).write(saveTo.get());
        }
        return changes.isEmpty() ? NO_CHANGES : CHANGES;
    }

    /**
     * Applies an operator's file, or a saved plan unless the state has changed since the plan was made. The state is
     * replaced atomically and under a lock on a file beside it, so that two applies cannot interleave and a crash
     * leaves the old state.
     *
     * @throws InvalidInputException if the file has an error or the plan is stale; then nothing has changed
     */
    @SuppressWarnings("try") // The lock is held but never accessed.
    void apply(Path file) throws IOException {
        boolean isSavedPlan = Files.readString(file).stripLeading().startsWith("{");
        Path folder = stateFile.toAbsolutePath().getParent();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        Path lockFile = Path.of(stateFile + ".lock");
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            applyLocked(file, isSavedPlan);
        }
    }

    private void applyLocked(Path file, boolean isSavedPlan) throws IOException {
        AppliedState current = AppliedState.read(stateFile);
        SavedPlan plan = isSavedPlan ? SavedPlan.read(file) : SavedPlan.from(current, readChecked(file));
        if (!plan.isFor(current)) {
            throw new InvalidInputException(file + " is stale: " + plan.staleReason(current) + "; run plan again");
        }
        ChatConfigChecks.check(plan.settings());
        List<String> changes = changes(current.settings(), plan.settings());
        if (changes.isEmpty()) {
            out.println("No changes.");
            return;
        }
        AppliedState next = current.next(plan.settings());
        next.write(stateFile);
        changes.forEach(out::println);
        out.println(changes.size() + " changes applied; state " + next.serial() + ".");
    }

    /** Reads the operator's file and makes all checks that the environment allows. */
    private FlatSettings readChecked(Path file) throws IOException {
        try {
            FlatSettings settings = ChatConfigReader.read(Files.readString(file));
            if (environment.containsKey(GatewayConfigReader.CONFIG_VARIABLE)) {
                ChatConfigChecks.check(
                        settings, GatewayConfigReader.read(environment).names());
            }
            return settings;
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    /** Returns one line for each key that differs, in the order of the keys. */
    private static List<String> changes(FlatSettings from, FlatSettings to) {
        SortedMap<String, String> before = from.values();
        SortedMap<String, String> after = to.values();
        SortedSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        List<String> changes = new ArrayList<>();
        for (String key : keys) {
            if (!before.containsKey(key)) {
                changes.add("+ " + key + " = " + after.get(key));
            } else if (!after.containsKey(key)) {
                changes.add("- " + key + " = " + before.get(key));
            } else if (!before.get(key).equals(after.get(key))) {
                changes.add("~ " + key + " = " + before.get(key) + " -> " + after.get(key));
            }
        }
        return changes;
    }
}

package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** The operator's commands: what a file would change, and changing just that. */
final class PlanCommands {

    static final int NO_CHANGES = 0;
    static final int CHANGES = 2;

    private final Path state;
    private final Map<String, String> environment;
    private final PrintStream out;

    /** What was applied last; serial 0 before the first time. */
    record Applied(long serial, SortedMap<String, String> settings) {}

    PlanCommands(Path state, Map<String, String> environment, PrintStream out) {
        this.state = state;
        this.environment = environment;
        this.out = out;
    }

    /** The applied state in a file; an absent one is empty. */
    static Applied applied(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new Applied(0, new TreeMap<>());
        }
        return read(file, "serial");
    }

    private static Applied read(Path file, String serial) throws IOException {
        try {
            JsonObject json = JsonObject.parse(Files.readString(file));
            SortedMap<String, String> settings = new TreeMap<>();
            JsonObject child = json.child("settings");
            child.fields().keySet().forEach(key -> settings.put(key, child.text(key)));
            return new Applied(json.integer(serial), settings);
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    /** Prints what a file would change, and saves it where asked to. */
    int plan(Path file, String saveTo) throws IOException {
        Applied now = applied(state);
        SortedMap<String, String> wanted = wanted(file);
        List<String> changes = changes(now.settings, wanted);
        changes.forEach(out::println);
        out.println(changes.isEmpty() ? "No changes." : changes.size() + " changes.");
        if (saveTo != null) {
            write(Path.of(saveTo), JsonObject.write(Map.of("base", now.serial, "settings", wanted)));
        }
        return changes.isEmpty() ? NO_CHANGES : CHANGES;
    }

    /**
     * Applies a file, or a saved plan unless the state has changed since it was made. The state is replaced in one step
     * and under a lock, so that two applies cannot mix and a crash leaves the old one.
     */
    @SuppressWarnings("try") // The lock is held, not looked at.
    void apply(Path file) throws IOException {
        boolean saved = Files.readString(file).stripLeading().startsWith("{");
        if (state.toAbsolutePath().getParent() != null) {
            Files.createDirectories(state.toAbsolutePath().getParent());
        }
        try (FileChannel channel = FileChannel.open(
                        Path.of(state + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            Applied now = applied(state);
            Applied plan = saved ? read(file, "base") : new Applied(now.serial, wanted(file));
            if (plan.serial != now.serial) {
                throw new InvalidInputException(file + " is stale: it was made for state " + plan.serial + ", now is "
                        + now.serial + "; plan again");
            }
            ChatConfigReader.check(plan.settings);
            List<String> changes = changes(now.settings, plan.settings);
            if (changes.isEmpty()) {
                out.println("No changes.");
                return;
            }
            write(state, JsonObject.write(Map.of("serial", now.serial + 1, "settings", plan.settings)));
            changes.forEach(out::println);
            out.println(changes.size() + " changes applied; state " + (now.serial + 1) + ".");
        }
    }

    private SortedMap<String, String> wanted(Path file) throws IOException {
        try {
            SortedMap<String, String> settings = ChatConfigReader.read(Files.readString(file));
            if (environment.containsKey("RELAY_CONFIG")) {
                ChatConfigReader.check(settings, GatewayConfig.read(environment));
            }
            return settings;
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static List<String> changes(SortedMap<String, String> from, SortedMap<String, String> to) {
        TreeSet<String> keys = new TreeSet<>(from.keySet());
        keys.addAll(to.keySet());
        List<String> changes = new ArrayList<>();
        for (String key : keys) {
            String before = from.get(key);
            String after = to.get(key);
            if (before == null) {
                changes.add("+ " + key + " = " + after);
            } else if (after == null) {
                changes.add("- " + key + " = " + before);
            } else if (!before.equals(after)) {
                changes.add("~ " + key + " = " + before + " -> " + after);
            }
        }
        return changes;
    }

    private static void write(Path file, String text) throws IOException {
        Path part = Files.createTempFile(
                file.toAbsolutePath().getParent(), file.getFileName().toString(), ".part");
        try {
            try (FileChannel channel = FileChannel.open(part, StandardOpenOption.WRITE)) {
                channel.write(StandardCharsets.UTF_8.encode(text + "\n"));
                channel.force(true);
            }
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(part);
        }
    }
}

package review2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A saved plan, and a live state that moves before the plan is applied. */
final class Lineage {

    private static Path folder;
    private static Path state;
    private static int step;

    private Lineage() {}

    public static void main(String[] arguments) throws Exception {
        Stand.begin(arguments[0]);
        folder = Stand.temporaryFolder();
        state = folder.resolve("applied.json");
        Stand.Fleet fleet = new Stand.Fleet();
        fleet.add("reader-1", "prompt", 1, Stand.reader(0.05));
        fleet.add("writer-1", "answer", 1, Stand.writer(0.05, 3, 0.02));
        Stand.Discovery discovery = new Stand.Discovery(fleet);

        // The first operator applies a file, and saves a plan for the next change.
        require(command("apply " + file("first", "shelf-lookup") + " --state " + state) == 0, "the first apply");
        Path plan = folder.resolve("saved.plan");
        Path next = file("next", "shelf-lookup", "shelf-reply");
        require(command("plan " + next + " --state " + state + " --out " + plan) == 2, "the plan");

        if (Stand.TROUBLE) {
            // The machine is replaced and comes back from nothing; the second operator applies what it is to serve now.
            Files.delete(state);
            Stand.log("the machine comes back from nothing: no state");
            require(command("apply " + file("second", "shelf-lookup", "shelf-listing") + " --state " + state) == 0, "2");
        }
        String live = Files.readString(state);
        List<String> modelsBefore = models(discovery, "before");

        // The first operator applies the saved plan.
        int code = command("apply " + plan + " --state " + state);
        String after = Files.readString(state);
        List<String> modelsAfter = models(discovery, "after");
        List<String> violations = new ArrayList<>();
        Stand.log("apply of the saved plan exits with " + code + "; state replaced: " + !after.equals(live));
        Stand.log("models served before " + modelsBefore + ", after " + modelsAfter);
        if (Stand.TROUBLE && (code == 0 || !after.equals(live))) {
            violations.add("the live state moved since the plan, and apply did not refuse: exit " + code
                    + ", models before " + modelsBefore + ", after " + modelsAfter);
        }
        if (!Stand.TROUBLE && code != 0) {
            violations.add("the live state did not move, and apply refused");
        }
        Stand.verdict(violations);
    }

    private static void require(boolean condition, String what) {
        if (!condition) {
            Stand.log("could not run: " + what);
            Stand.end(2);
        }
    }

    private static Path file(String name, String... models) throws IOException {
        StringBuilder toml = new StringBuilder("[keys.CHAT_KEY]\ntenant = \"salamanca-pages\"\n");
        for (String model : models) {
            toml.append("[models.").append(model).append("]\nclass = \"")
                    .append(model.equals("shelf-listing") ? "listing" : "lookup").append("\"\n");
        }
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, "listen = \"" + Stand.HOST + ":" + port + "\"\n" + toml);
        return file;
    }

    private static int port;

    static {
        try {
            port = Stand.freePort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs one of the program's commands for operators; returns its exit code. */
    private static int command(String arguments) throws Exception {
        Path out = folder.resolve("command-" + ++step + ".out");
        Process process = new ProcessBuilder(
                        "/bin/sh", "-c", "exec java -jar target/dunlinladder.jar " + arguments)
                .directory(new File(System.getProperty("root")))
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
        int code = process.waitFor();
        Stand.log("command: " + arguments.replace(folder.toString() + "/", "") + " -> exit " + code);
        for (String line : Files.readAllLines(out)) {
            Stand.log("    " + line.replace(folder.toString() + "/", ""));
        }
        return code;
    }

    /** Starts a gateway with the state, asks it for its models as a client does, and ends it. */
    private static List<String> models(Stand.Discovery discovery, String name) throws Exception {
        Stand.Gateway gateway = new Stand.Gateway("n0-" + name, discovery, folder);
        gateway.environment.put("CHAT_KEY", "secret");
        gateway.state = state;
        gateway.chatPort = port;
        gateway.start();
        Stand.Result result = Stand.ask(
                port, "models", "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n\r\n", 5);
        gateway.kill();
        List<String> names = new ArrayList<>();
        for (String model : List.of("shelf-lookup", "shelf-listing", "shelf-reply")) {
            if (result.text().contains("\"" + model + "\"")) {
                names.add(model);
            }
        }
        return names;
    }
}

package dunlinladder.lifecycle;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.migration.Generation;
import dunlinladder.migration.MigrationPlan;
import dunlinladder.transport.json.InvalidInputException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** The part of the operator's file that says which engines speak which format, and how the fleet moves. */
final class MigrationConfigReader {

    private static final Pattern GENERATION = Pattern.compile("generations\\.[^.]+\\.(format|kinds|halls|ids|order)");
    private static final Pattern MOVE = Pattern.compile("move\\.(from|to|ramp_seconds"
            + "|stages\\.[1-9][0-9]?\\.(engines|shops|hold_seconds)"
            + "|stop\\.(failed|untranslatable|delay|least|then))");

    private MigrationConfigReader() {}

    /** Whether a key is one of this part's. */
    static boolean knows(String key) {
        return GENERATION.matcher(key).matches() || MOVE.matcher(key).matches();
    }

    /** Whether the file has a move. */
    private static boolean moves(Map<String, String> flat) {
        return flat.keySet().stream().anyMatch(key -> key.startsWith("move."));
    }

    /** The generations in the order in which engines are matched; one for all engines where none is given. */
    static List<Generation> read(Map<String, String> flat, List<String> kinds, List<String> zones) {
        Map<String, Integer> orders = new TreeMap<>();
        List<Generation> generations = new ArrayList<>();
        for (String name : flat.keySet().stream()
                .filter(k -> k.startsWith("generations."))
                .map(k -> k.split("\\.")[1])
                .distinct()
                .toList()) {
            String at = "generations." + name + ".";
            ApiFormat format = ApiFormat.of(flat.getOrDefault(at + "format", ""))
                    .orElseThrow(() -> new InvalidInputException(at + "format must be one of "
                            + Arrays.stream(ApiFormat.values())
                                    .map(ApiFormat::key)
                                    .toList() + ", not "
                            + flat.get(at + "format")));
            orders.put(name, (int) number(flat, at + "order", 0, 0, 1000));
            generations.add(new Generation(
                    name,
                    format,
                    indexes(flat, at + "kinds", kinds),
                    indexes(flat, at + "halls", zones),
                    pattern(flat, at + "ids")));
        }
        generations.sort(
                Comparator.comparing((Generation g) -> orders.get(g.name())).thenComparing(Generation::name));
        return generations.isEmpty()
                ? List.of(new Generation("all", ApiFormat.CHAT, Set.of(), Set.of(), Optional.empty()))
                : generations;
    }

    /** The move, null where the file has none. */
    static MigrationPlan move(Map<String, String> flat, List<Generation> generations) {
        if (!moves(flat)) {
            return null;
        }
        String from = generation(flat, "move.from", generations);
        String to = generation(flat, "move.to", generations);
        if (from.equals(to)) {
            throw new InvalidInputException("move.to must not be the generation that move.from names");
        }
        List<MigrationPlan.Stage> stages = new ArrayList<>();
        for (int i = 1; flat.containsKey("move.stages." + i + ".engines"); i++) {
            String at = "move.stages." + i + ".";
            stages.add(new MigrationPlan.Stage(
                    number(flat, at + "engines", Double.NaN, 0, 1),
                    number(flat, at + "shops", 1, 0, 1),
                    number(flat, at + "hold_seconds", 60, 0.001, 1e7)));
        }
        long named = flat.keySet().stream()
                .filter(k -> k.startsWith("move.stages."))
                .map(k -> k.split("\\.")[2])
                .distinct()
                .count();
        if (named != stages.size()) {
            throw new InvalidInputException("move.stages must be numbered from 1 on, each with engines");
        }
        String then = flat.getOrDefault("move.stop.then", "back");
        if (!then.equals("back") && !then.equals("stop")) {
            throw new InvalidInputException("move.stop.then must be back or stop, not " + then);
        }
        try {
            return new MigrationPlan(
                    from,
                    to,
                    stages,
                    new MigrationPlan.Stop(
                            number(flat, "move.stop.failed", 0.02, 0, 1),
                            number(flat, "move.stop.untranslatable", 0.05, 0, 1),
                            number(flat, "move.stop.delay", 2, 1, 1000),
                            (int) number(flat, "move.stop.least", 50, 1, 1e6),
                            then.equals("back")),
                    number(flat, "move.ramp_seconds", 10, 0.001, 1e6));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("move.stages: " + e.getMessage());
        }
    }

    private static String generation(Map<String, String> flat, String key, List<Generation> generations) {
        String name = flat.get(key);
        if (name == null || generations.stream().noneMatch(g -> g.name().equals(name))) {
            throw new InvalidInputException(key + (name == null ? " is missing" : ": no generation is named " + name));
        }
        return name;
    }

    private static double number(Map<String, String> flat, String key, double absent, double least, double most) {
        String text = flat.get(key);
        try {
            double value = text == null ? absent : Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new InvalidInputException(key + " must be a number from " + least + " to " + most + ", not " + text);
    }

    /** Names in a list, as the flat form has it; checked against the deployment's, where that is known. */
    private static Set<Integer> indexes(Map<String, String> flat, String key, List<String> names) {
        String text = flat.get(key);
        Set<Integer> indexes = new HashSet<>();
        if (text != null) {
            if (!text.startsWith("[") || !text.endsWith("]")) {
                throw new InvalidInputException(key + " must be a list of names, not " + text);
            }
            for (String name : text.substring(1, text.length() - 1).split(",")) {
                int index = names == null ? 0 : names.indexOf(name.trim());
                if (index < 0) {
                    throw new InvalidInputException(key + ": none is named " + name.trim() + "; there are " + names);
                }
                indexes.add(index);
            }
        }
        return indexes;
    }

    private static Optional<Pattern> pattern(Map<String, String> flat, String key) {
        String text = flat.get(key);
        try {
            return Optional.ofNullable(text).map(Pattern::compile);
        } catch (PatternSyntaxException e) {
            throw new InvalidInputException(key + " is not a pattern: " + e.getDescription());
        }
    }
}

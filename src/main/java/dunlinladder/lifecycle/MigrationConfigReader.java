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

/**
 * Reads the generations and the migration plan of the chat configuration: which engines use which API format, and how
 * the fleet migrates from one format to another. Each error is an {@link InvalidInputException} whose message names the
 * key.
 */
final class MigrationConfigReader {

    private static final Pattern GENERATION_KEY =
            Pattern.compile("generations\\.[^.]+\\.(format|kinds|halls|ids|order)");
    private static final Pattern PLAN_KEY = Pattern.compile("move\\.(from|to|ramp_seconds"
            + "|stages\\.[1-9][0-9]?\\.(engines|shops|hold_seconds)"
            + "|stop\\.(failed|untranslatable|delay|least|then))");

    private static final String GENERATION_PREFIX = "generations.";
    private static final String PLAN_PREFIX = "move.";
    private static final String STAGE_PREFIX = "move.stages.";
    /** Name of the generation of all engines, used if the file has no generations. */
    private static final String DEFAULT_GENERATION = "all";

    private static final double MAX_ORDER = 1000;

    private static final double MIN_SECONDS = 0.001;
    private static final double DEFAULT_HOLD_SECONDS = 60;
    private static final double MAX_HOLD_SECONDS = 1e7;
    private static final double DEFAULT_RAMP_SECONDS = 10;
    private static final double MAX_RAMP_SECONDS = 1e6;

    /** Limit by which the target generation's fraction of failed answers may exceed the source generation's. */
    private static final double DEFAULT_FAILURE_EXCESS = 0.02;

    private static final double DEFAULT_UNTRANSLATABLE_FRACTION = 0.05;
    /** Limit of the target generation's median time to first token, as a multiple of the source generation's. */
    private static final double DEFAULT_DELAY_RATIO = 2;

    private static final double MAX_DELAY_RATIO = 1000;
    private static final double DEFAULT_MIN_ANSWERS = 50;
    private static final double MAX_MIN_ANSWERS = 1e6;
    /** Action when a limit is exceeded: go back one stage and try again, or stop at the current one. */
    private static final String BACK_ACTION = "back";

    private static final String STOP_ACTION = "stop";

    private MigrationConfigReader() {}

    /** Whether a key belongs to the generations or to the migration plan. */
    static boolean isMigrationKey(String key) {
        return GENERATION_KEY.matcher(key).matches() || PLAN_KEY.matcher(key).matches();
    }

    /**
     * Returns the generations in the order in which engines are matched; if none is given, one for all engines. Names
     * of kinds and zones are not checked, and their indexes in the result are all 0.
     */
    static List<Generation> readGenerations(FlatSettings settings) {
        return readGenerations(settings, Optional.empty());
    }

    /** Returns the generations in the order in which engines are matched; if none is given, one for all engines. */
    static List<Generation> readGenerations(FlatSettings settings, GatewayConfig.DeploymentNames names) {
        return readGenerations(settings, Optional.of(names));
    }

    private static List<Generation> readGenerations(
            FlatSettings settings, Optional<GatewayConfig.DeploymentNames> names) {
        Map<String, Integer> orders = new TreeMap<>();
        List<Generation> generations = new ArrayList<>();
        for (String name : settings.partsUnder(GENERATION_PREFIX, 1)) {
            String prefix = GENERATION_PREFIX + name + ".";
            ApiFormat format = format(settings, prefix + "format");
            orders.put(name, (int) settings.number(prefix + "order", 0, 0, MAX_ORDER));
            generations.add(new Generation(
                    name,
                    format,
                    indexes(settings, prefix + "kinds", names.map(GatewayConfig.DeploymentNames::kinds)),
                    indexes(settings, prefix + "halls", names.map(GatewayConfig.DeploymentNames::zones)),
                    pattern(settings, prefix + "ids")));
        }
        generations.sort(Comparator.comparing((Generation generation) -> orders.get(generation.name()))
                .thenComparing(Generation::name));
        return generations.isEmpty()
                ? List.of(new Generation(DEFAULT_GENERATION, ApiFormat.CHAT, Set.of(), Set.of(), Optional.empty()))
                : generations;
    }

    private static ApiFormat format(FlatSettings settings, String key) {
        Optional<String> name = settings.text(key);
        return ApiFormat.of(name.orElse(""))
                .orElseThrow(() -> new InvalidInputException(key + " must be one of "
                        + Arrays.stream(ApiFormat.values()).map(ApiFormat::key).toList() + ", not "
                        + name.orElse(null)));
    }

    /**
     * Returns the positions in {@code knownNames} of the names in a list, which is stored in its flat form.
     *
     * @param knownNames the deployment's names; if empty, nothing is checked and all positions are 0
     */
    private static Set<Integer> indexes(FlatSettings settings, String key, Optional<List<String>> knownNames) {
        Optional<String> text = settings.text(key);
        Set<Integer> indexes = new HashSet<>();
        if (text.isEmpty()) {
            return indexes;
        }
        for (String name : listItems(key, text.get())) {
            int index = knownNames.map(names -> names.indexOf(name)).orElse(0);
            if (index < 0) {
                throw new InvalidInputException(
                        key + ": unknown name " + name + "; known names: " + knownNames.orElseThrow());
            }
            indexes.add(index);
        }
        return indexes;
    }

    private static List<String> listItems(String key, String text) {
        if (!text.startsWith("[") || !text.endsWith("]")) {
            throw new InvalidInputException(key + " must be a list of names, not " + text);
        }
        return Arrays.stream(text.substring(1, text.length() - 1).split(","))
                .map(String::trim)
                .toList();
    }

    private static Optional<Pattern> pattern(FlatSettings settings, String key) {
        try {
            return settings.text(key).map(Pattern::compile);
        } catch (PatternSyntaxException e) {
            throw new InvalidInputException(key + " is not a valid regular expression: " + e.getDescription());
        }
    }

    /** Returns the migration plan; empty if the file has none. */
    static Optional<MigrationPlan> readPlan(FlatSettings settings, List<Generation> generations) {
        if (!settings.hasKeysUnder(PLAN_PREFIX)) {
            return Optional.empty();
        }
        String from = generation(settings, "move.from", generations);
        String to = generation(settings, "move.to", generations);
        if (from.equals(to)) {
            throw new InvalidInputException("move.to must not name the same generation as move.from");
        }
        List<MigrationPlan.Stage> stages = stages(settings);
        String action = stopAction(settings);
        try {
            return Optional.of(new MigrationPlan(
                    from,
                    to,
                    stages,
                    stopLimits(settings, action),
                    settings.number("move.ramp_seconds", DEFAULT_RAMP_SECONDS, MIN_SECONDS, MAX_RAMP_SECONDS)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("move.stages: " + e.getMessage());
        }
    }

    private static String generation(FlatSettings settings, String key, List<Generation> generations) {
        String name = settings.requiredText(key);
        if (generations.stream().noneMatch(generation -> generation.name().equals(name))) {
            throw new InvalidInputException(key + ": no generation is named " + name);
        }
        return name;
    }

    private static List<MigrationPlan.Stage> stages(FlatSettings settings) {
        List<MigrationPlan.Stage> stages = new ArrayList<>();
        for (int number = 1; settings.text(stageKey(number, "engines")).isPresent(); number++) {
            stages.add(new MigrationPlan.Stage(
                    settings.number(stageKey(number, "engines"), Double.NaN, 0, 1),
                    settings.number(stageKey(number, "shops"), 1, 0, 1),
                    settings.number(
                            stageKey(number, "hold_seconds"), DEFAULT_HOLD_SECONDS, MIN_SECONDS, MAX_HOLD_SECONDS)));
        }
        if (settings.partsUnder(STAGE_PREFIX, 2).size() != stages.size()) {
            throw new InvalidInputException("move.stages must be numbered 1, 2, 3 and so on, each with engines");
        }
        return stages;
    }

    private static String stageKey(int number, String field) {
        return STAGE_PREFIX + number + "." + field;
    }

    private static String stopAction(FlatSettings settings) {
        String action = settings.text("move.stop.then").orElse(BACK_ACTION);
        if (!action.equals(BACK_ACTION) && !action.equals(STOP_ACTION)) {
            throw new InvalidInputException("move.stop.then must be back or stop, not " + action);
        }
        return action;
    }

    private static MigrationPlan.StopLimits stopLimits(FlatSettings settings, String action) {
        return new MigrationPlan.StopLimits(
                settings.number("move.stop.failed", DEFAULT_FAILURE_EXCESS, 0, 1),
                settings.number("move.stop.untranslatable", DEFAULT_UNTRANSLATABLE_FRACTION, 0, 1),
                settings.number("move.stop.delay", DEFAULT_DELAY_RATIO, 1, MAX_DELAY_RATIO),
                (int) settings.number("move.stop.least", DEFAULT_MIN_ANSWERS, 1, MAX_MIN_ANSWERS),
                action.equals(BACK_ACTION));
    }
}

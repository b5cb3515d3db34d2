package dunlinladder.dialect;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What becomes of each field and each kind of part from one format to another: made from {@link Fields} and
 * {@link Setting}, carried out by {@link Requests} and {@link Turns}, and printed into the docs.
 */
public final class Table {

    /** What becomes of a field. */
    public enum Action {
        /** Under the same name, as it is. */
        CARRIED,
        /** Under another name, or in another shape. */
        CONVERTED,
        /** Left out, with a warning header. */
        DROPPED,
        /** The request is refused, with an error that names the field. */
        REFUSED,
        /** Done by the gateway, whatever the engine can. */
        HERE,
        /** Neither format has it. */
        ABSENT
    }

    private static final Map<Part.Kind, Set<Format>> CARRY = new EnumMap<>(Part.Kind.class);
    private static final Map<Format, Map<Format, Table>> TABLES = new EnumMap<>(Format.class);

    static {
        CARRY.put(Part.Kind.TEXT, EnumSet.allOf(Format.class));
        CARRY.put(Part.Kind.IMAGE, EnumSet.of(Format.CHAT, Format.RESPONSES, Format.MESSAGES));
        CARRY.put(Part.Kind.AUDIO, EnumSet.of(Format.CHAT));
        CARRY.put(Part.Kind.FILE, EnumSet.of(Format.CHAT, Format.RESPONSES, Format.MESSAGES));
        CARRY.put(Part.Kind.CALL, EnumSet.of(Format.CHAT, Format.RESPONSES, Format.MESSAGES));
        CARRY.put(Part.Kind.RESULT, EnumSet.of(Format.CHAT, Format.RESPONSES, Format.MESSAGES));
        CARRY.put(Part.Kind.THOUGHT, EnumSet.of(Format.RESPONSES, Format.MESSAGES));
        CARRY.put(Part.Kind.REFUSAL, EnumSet.of(Format.CHAT, Format.RESPONSES));
        for (Format from : Format.values()) {
            TABLES.put(from, new EnumMap<>(Format.class));
            for (Format to : Format.values()) {
                TABLES.get(from).put(to, new Table(from, to));
            }
        }
    }

    private final Map<Setting, Action> settings = new EnumMap<>(Setting.class);
    private final Map<Part.Kind, Action> parts = new EnumMap<>(Part.Kind.class);

    private Table(Format from, Format to) {
        for (Setting setting : Setting.values()) {
            settings.put(setting, action(setting, from, to));
        }
        for (Part.Kind kind : Part.Kind.values()) {
            parts.put(
                    kind,
                    !CARRY.get(kind).contains(from)
                            ? Action.ABSENT
                            : CARRY.get(kind).contains(to)
                                    ? from == to ? Action.CARRIED : Action.CONVERTED
                                    : kind == Part.Kind.THOUGHT
                                            ? Action.DROPPED
                                            : kind == Part.Kind.REFUSAL ? Action.CONVERTED : Action.REFUSED);
        }
    }

    private static Action action(Setting setting, Format from, Format to) {
        Fields.Field here = Fields.find(from, setting);
        Fields.Field there = Fields.find(to, setting);
        if (here == null) {
            return Action.ABSENT;
        }
        if (there != null) {
            return here.path().equals(there.path()) && here.shape() == there.shape()
                    ? Action.CARRIED
                    : Action.CONVERTED;
        }
        return switch (setting.loss()) {
            case DROP -> Action.DROPPED;
            case REFUSE -> Action.REFUSED;
            case HERE -> Action.HERE;
        };
    }

    /** The table from a client's format to an engine's. */
    public static Table of(Format from, Format to) {
        return TABLES.get(from).get(to);
    }

    /** What becomes of a setting. */
    public Action action(Setting setting) {
        return settings.get(setting);
    }

    /** What becomes of a kind of part. */
    public Action action(Part.Kind kind) {
        return parts.get(kind);
    }

    /** All tables as a page of Markdown. */
    public static String markdown() {
        StringBuilder page = new StringBuilder("""
                # What becomes of each field

                Printed by `dunlinladder.dialect.Table` from the tables that the program carries out; a test
                holds this page against them. A cell names the field in the engine's format and what becomes
                of it on its way there. `dropped` comes with a warning header unless the value asks for
                nothing (`n` of 1, say), `refused` with an error that names the field, `here` is done by the
                gateway.
                Where `messages` needs a `max_tokens` that the client did not give, it gets the model's bound
                from the operator's file.
                """);
        for (Format from : Format.values()) {
            page.append("\n## Requests in the format `").append(from.key()).append("`\n\n| field |");
            for (Format to : Format.values()) {
                page.append(" to `").append(to.key()).append("` |");
            }
            page.append("\n| --- |")
                    .append(" --- |".repeat(Format.values().length))
                    .append('\n');
            for (Fields.Field field : Fields.of(from)) {
                page.append("| `")
                        .append(field.path())
                        .append('`')
                        .append(field.alias() ? " (older)" : "")
                        .append(" |");
                for (Format to : Format.values()) {
                    Fields.Field there = Fields.find(to, field.setting());
                    Action action = of(from, to).action(field.setting());
                    page.append(there == null ? "" : " `" + there.path() + "`")
                            .append(' ')
                            .append(
                                    field.alias() && action == Action.CARRIED
                                            ? "converted"
                                            : action.name().toLowerCase(Locale.ROOT))
                            .append(" |");
                }
                page.append('\n');
            }
            for (Part.Kind kind : Part.Kind.values()) {
                if (of(from, from).action(kind) != Action.ABSENT) {
                    page.append("| part ")
                            .append(kind.name().toLowerCase(Locale.ROOT))
                            .append(" |");
                    for (Format to : Format.values()) {
                        page.append(' ')
                                .append(of(from, to).action(kind).name().toLowerCase(Locale.ROOT))
                                .append(" |");
                    }
                    page.append('\n');
                }
            }
        }
        return page.toString();
    }
}

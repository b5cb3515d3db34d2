package dunlinladder.apiformat;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What becomes of each field and each kind of part from one format to another: made from {@link FieldTable} and
 * {@link RequestParameter}, carried out by {@link RequestTranslator} and {@link MessageCodec}, and printed into the
 * docs.
 */
public final class TranslationTable {

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

    private static final Map<ContentPart.Kind, Set<ApiFormat>> CARRY = new EnumMap<>(ContentPart.Kind.class);
    private static final Map<ApiFormat, Map<ApiFormat, TranslationTable>> TABLES = new EnumMap<>(ApiFormat.class);

    static {
        CARRY.put(ContentPart.Kind.TEXT, EnumSet.allOf(ApiFormat.class));
        CARRY.put(ContentPart.Kind.IMAGE, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        CARRY.put(ContentPart.Kind.AUDIO, EnumSet.of(ApiFormat.CHAT));
        CARRY.put(ContentPart.Kind.FILE, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        CARRY.put(ContentPart.Kind.CALL, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        CARRY.put(ContentPart.Kind.RESULT, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        CARRY.put(ContentPart.Kind.THOUGHT, EnumSet.of(ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        CARRY.put(ContentPart.Kind.REFUSAL, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES));
        for (ApiFormat from : ApiFormat.values()) {
            TABLES.put(from, new EnumMap<>(ApiFormat.class));
            for (ApiFormat to : ApiFormat.values()) {
                TABLES.get(from).put(to, new TranslationTable(from, to));
            }
        }
    }

    private final Map<RequestParameter, Action> settings = new EnumMap<>(RequestParameter.class);
    private final Map<ContentPart.Kind, Action> parts = new EnumMap<>(ContentPart.Kind.class);

    private TranslationTable(ApiFormat from, ApiFormat to) {
        for (RequestParameter setting : RequestParameter.values()) {
            settings.put(setting, action(setting, from, to));
        }
        for (ContentPart.Kind kind : ContentPart.Kind.values()) {
            parts.put(
                    kind,
                    !CARRY.get(kind).contains(from)
                            ? Action.ABSENT
                            : CARRY.get(kind).contains(to)
                                    ? from == to ? Action.CARRIED : Action.CONVERTED
                                    : kind == ContentPart.Kind.THOUGHT
                                            ? Action.DROPPED
                                            : kind == ContentPart.Kind.REFUSAL ? Action.CONVERTED : Action.REFUSED);
        }
    }

    private static Action action(RequestParameter setting, ApiFormat from, ApiFormat to) {
        FieldTable.Field here = FieldTable.find(from, setting);
        FieldTable.Field there = FieldTable.find(to, setting);
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
    public static TranslationTable of(ApiFormat from, ApiFormat to) {
        return TABLES.get(from).get(to);
    }

    /** What becomes of a setting. */
    public Action action(RequestParameter setting) {
        return settings.get(setting);
    }

    /** What becomes of a kind of part. */
    public Action action(ContentPart.Kind kind) {
        return parts.get(kind);
    }

    /** All tables as a page of Markdown. */
    public static String markdown() {
        StringBuilder page = new StringBuilder("""
                # What becomes of each field

                Printed by `dunlinladder.apiformat.TranslationTable` from the tables that the program carries out; a
                test holds this page against them. A cell names the field in the engine's format and what becomes
                of it on its way there. `dropped` comes with a warning header unless the value asks for
                nothing (`n` of 1, say), `refused` with an error that names the field, `here` is done by the
                gateway.
                Where `messages` needs a `max_tokens` that the client did not give, it gets the model's bound
                from the operator's file.
                """);
        for (ApiFormat from : ApiFormat.values()) {
            page.append("\n## Requests in the format `").append(from.key()).append("`\n\n| field |");
            for (ApiFormat to : ApiFormat.values()) {
                page.append(" to `").append(to.key()).append("` |");
            }
            page.append("\n| --- |")
                    .append(" --- |".repeat(ApiFormat.values().length))
                    .append('\n');
            for (FieldTable.Field field : FieldTable.of(from)) {
                page.append("| `")
                        .append(field.path())
                        .append('`')
                        .append(field.alias() ? " (older)" : "")
                        .append(" |");
                for (ApiFormat to : ApiFormat.values()) {
                    FieldTable.Field there = FieldTable.find(to, field.setting());
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
            for (ContentPart.Kind kind : ContentPart.Kind.values()) {
                if (of(from, from).action(kind) != Action.ABSENT) {
                    page.append("| part ")
                            .append(kind.name().toLowerCase(Locale.ROOT))
                            .append(" |");
                    for (ApiFormat to : ApiFormat.values()) {
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

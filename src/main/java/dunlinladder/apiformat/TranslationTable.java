package dunlinladder.apiformat;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The action for each parameter and each kind of content part, from a client's format to an engine's. The table is
 * derived from {@link FieldTable} and {@link RequestParameter}, applied by {@link RequestTranslator} and
 * {@link MessageCodec}, and printed into the docs by {@link ReferencePages}.
 */
public final class TranslationTable {

    /** The way in which a field is translated. */
    public enum Action {
        /** The field is written under the same name, unchanged. */
        CARRIED,
        /** The field is written under another name, or in another form. */
        CONVERTED,
        /** The field is left out, and the client is warned in a header. */
        DROPPED,
        /** The request is rejected with an error that names the field. */
        REFUSED,
        /** The engine's format does not have the field, and the gateway itself does what the field asks for. */
        HERE,
        /** The client's format does not have the field. */
        ABSENT
    }

    private static final Set<ApiFormat> STRUCTURED_FORMATS =
            EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES, ApiFormat.MESSAGES);
    private static final Map<ContentPart.Kind, Set<ApiFormat>> FORMATS_BY_KIND = formatsByKind();
    private static final Map<ApiFormat, Map<ApiFormat, TranslationTable>> TABLES = new EnumMap<>(ApiFormat.class);

    static {
        for (ApiFormat from : ApiFormat.values()) {
            TABLES.put(from, new EnumMap<>(ApiFormat.class));
            for (ApiFormat to : ApiFormat.values()) {
                TABLES.get(from).put(to, new TranslationTable(from, to));
            }
        }
    }

    private final Map<RequestParameter, Action> parameters = new EnumMap<>(RequestParameter.class);
    private final Map<ContentPart.Kind, Action> parts = new EnumMap<>(ContentPart.Kind.class);

    private TranslationTable(ApiFormat from, ApiFormat to) {
        for (RequestParameter parameter : RequestParameter.values()) {
            parameters.put(parameter, parameterAction(parameter, from, to));
        }
        for (ContentPart.Kind kind : ContentPart.Kind.values()) {
            parts.put(kind, partAction(kind, from, to));
        }
    }

    private static Map<ContentPart.Kind, Set<ApiFormat>> formatsByKind() {
        Map<ContentPart.Kind, Set<ApiFormat>> formats = new EnumMap<>(ContentPart.Kind.class);
        formats.put(ContentPart.Kind.TEXT, EnumSet.allOf(ApiFormat.class));
        formats.put(ContentPart.Kind.IMAGE, STRUCTURED_FORMATS);
        formats.put(ContentPart.Kind.AUDIO, EnumSet.of(ApiFormat.CHAT));
        formats.put(ContentPart.Kind.FILE, STRUCTURED_FORMATS);
        formats.put(ContentPart.Kind.CALL, STRUCTURED_FORMATS);
        formats.put(ContentPart.Kind.RESULT, STRUCTURED_FORMATS);
        formats.put(ContentPart.Kind.THOUGHT, EnumSet.of(ApiFormat.RESPONSES, ApiFormat.MESSAGES));
        formats.put(ContentPart.Kind.REFUSAL, EnumSet.of(ApiFormat.CHAT, ApiFormat.RESPONSES));
        return formats;
    }

    private static Action partAction(ContentPart.Kind kind, ApiFormat from, ApiFormat to) {
        if (!FORMATS_BY_KIND.get(kind).contains(from)) {
            return Action.ABSENT;
        }
        if (FORMATS_BY_KIND.get(kind).contains(to)) {
            return from == to ? Action.CARRIED : Action.CONVERTED;
        }
        return switch (kind) {
            case THOUGHT -> Action.DROPPED;
            // Formats without refusals get the refusal as text.
            case REFUSAL -> Action.CONVERTED;
            default -> Action.REFUSED;
        };
    }

    private static Action parameterAction(RequestParameter parameter, ApiFormat from, ApiFormat to) {
        FieldTable.Field source = FieldTable.of(from).find(parameter).orElse(null);
        FieldTable.Field target = FieldTable.of(to).find(parameter).orElse(null);
        if (source == null) {
            return Action.ABSENT;
        }
        if (target != null) {
            boolean unchanged = source.path().equals(target.path()) && source.codec() == target.codec();
            return unchanged ? Action.CARRIED : Action.CONVERTED;
        }
        return switch (parameter.fallback()) {
            case DROP -> Action.DROPPED;
            case REFUSE -> Action.REFUSED;
            case HERE -> Action.HERE;
        };
    }

    /** Returns the table from a client's format to an engine's. */
    public static TranslationTable of(ApiFormat from, ApiFormat to) {
        return TABLES.get(from).get(to);
    }

    /** Returns the action for a parameter. */
    public Action action(RequestParameter parameter) {
        return parameters.get(parameter);
    }

    /** Returns the action for a kind of content part. */
    public Action action(ContentPart.Kind kind) {
        return parts.get(kind);
    }
}

package dunlinladder.apiformat;

import dunlinladder.apiformat.ApiError.Kind;
import dunlinladder.apiformat.ErrorTable.ClientError;
import dunlinladder.apiformat.ErrorTable.EngineError;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.Locale;

/**
 * Formats the tables of this package as Markdown pages. The build writes the pages into {@code docs}, and a test
 * compares the files with the tables.
 */
public final class ReferencePages {

    private static final String FIELDS_INTRODUCTION = """
            # What becomes of each field

            Printed by `dunlinladder.apiformat.ReferencePages` from the tables that the program carries out; a test
            holds this page against them. A cell names the field in the engine's format and what becomes
            of it on its way there. `dropped` comes with a warning header unless the value asks for
            nothing (`n` of 1, say), `refused` with an error that names the field, `here` is done by the
            gateway.
            Where `messages` needs a `max_tokens` that the client did not give, it gets the model's bound
            from the operator's file.
            """;

    private static final String ERRORS_INTRODUCTION = """
            # What becomes of each error

            Printed by `dunlinladder.apiformat.ReferencePages` from the tables that the program carries out; a test
            holds this page against them.

            ## From engines

            The first row that fits holds. `-` stands for any, status 0 for the middle of a stream. Refused
            is only what the engine says it did not process (`X-Not-Processed`) and of which nothing was
            delivered; all else has failed, for what must not run twice with the header that keeps client
            libraries from asking again.

            | status | type | code | to the client | request at fault |
            | --- | --- | --- | --- | --- |
            """;

    private static final String CLIENT_ERRORS_HEADING = """

            ## To clients

            | kind | `completions`, `chat`, `responses` | `messages` |
            | --- | --- | --- |
            """;

    private ReferencePages() {}

    /** Returns the page on fields: the action for each field between each pair of formats. */
    public static String fields() {
        StringBuilder page = new StringBuilder(FIELDS_INTRODUCTION);
        for (ApiFormat from : ApiFormat.values()) {
            fieldsHeading(page, from);
            FieldTable.of(from).fields().forEach(field -> fieldRow(page, from, field));
            for (ContentPart.Kind kind : ContentPart.Kind.values()) {
                if (TranslationTable.of(from, from).action(kind) != Action.ABSENT) {
                    partRow(page, from, kind);
                }
            }
        }
        return page.toString();
    }

    private static void fieldsHeading(StringBuilder page, ApiFormat from) {
        page.append("\n## Requests in the format `").append(from.key()).append("`\n\n| field |");
        for (ApiFormat to : ApiFormat.values()) {
            page.append(" to `").append(to.key()).append("` |");
        }
        page.append("\n| --- |")
                .append(" --- |".repeat(ApiFormat.values().length))
                .append('\n');
    }

    private static void fieldRow(StringBuilder page, ApiFormat from, FieldTable.Field field) {
        page.append("| `")
                .append(field.path())
                .append('`')
                .append(field.alias() ? " (older)" : "")
                .append(" |");
        for (ApiFormat to : ApiFormat.values()) {
            Action action = TranslationTable.of(from, to).action(field.parameter());
            FieldTable.of(to)
                    .find(field.parameter())
                    .ifPresent(target -> page.append(" `").append(target.path()).append('`'));
            boolean renamed = field.alias() && action == Action.CARRIED;
            page.append(' ').append(renamed ? "converted" : lowerCase(action)).append(" |");
        }
        page.append('\n');
    }

    private static void partRow(StringBuilder page, ApiFormat from, ContentPart.Kind kind) {
        page.append("| part ").append(lowerCase(kind)).append(" |");
        for (ApiFormat to : ApiFormat.values()) {
            page.append(' ')
                    .append(lowerCase(TranslationTable.of(from, to).action(kind)))
                    .append(" |");
        }
        page.append('\n');
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the page on errors: the kind of each engine's error, and the error that each format has for each kind.
     */
    public static String errors() {
        StringBuilder page = new StringBuilder(ERRORS_INTRODUCTION);
        ErrorTable.engineErrors().forEach(row -> engineErrorRow(page, row));
        page.append(CLIENT_ERRORS_HEADING);
        for (Kind kind : Kind.values()) {
            clientErrorRow(page, kind);
        }
        return page.toString();
    }

    private static void engineErrorRow(StringBuilder page, EngineError row) {
        page.append("| ")
                .append(row.status() == ErrorTable.ANY_STATUS ? "-" : row.status())
                .append(" | ")
                .append(orDash(row.type()))
                .append(" | ")
                .append(orDash(row.code()))
                .append(" | ")
                .append(row.kind())
                .append(" | ")
                .append(row.requestAtFault() ? "yes" : "no")
                .append(" |\n");
    }

    private static String orDash(String value) {
        return value.equals(ErrorTable.ANY) ? "-" : value;
    }

    private static void clientErrorRow(StringBuilder page, Kind kind) {
        ClientError errorWithCode = ErrorTable.clientError(ApiFormat.CHAT, kind);
        ClientError messagesError = ErrorTable.clientError(ApiFormat.MESSAGES, kind);
        page.append("| ")
                .append(kind)
                .append(" | ")
                .append(errorWithCode.status())
                .append(' ')
                .append(errorWithCode.type())
                .append(", ")
                .append(errorWithCode.code())
                .append(" | ")
                .append(messagesError.status())
                .append(' ')
                .append(messagesError.type())
                .append(" |\n");
    }
}

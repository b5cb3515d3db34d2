package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.apiformat.UntranslatableRequestException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/**
 * A client's request, read and checked.
 *
 * @param id the id that the gateway gave the request
 * @param tenant index of the tenant whose API key came with the request
 * @param format the client's API format, which is also that of the answer
 * @param details the values that the gateway itself uses
 * @param body the body to be translated; empty if the client and all engines use the chat completions format, so that
 *     nothing is translated
 * @param warnings one line for each field that was left out; translation for an engine may add lines
 */
record ClientRequest(
        String id,
        int tenant,
        ApiFormat format,
        ChatRequest details,
        Optional<TranslatableBody> body,
        List<String> warnings) {

    /**
     * Reads a request.
     *
     * @param format the client's API format
     * @param content the body of the request
     * @param engineFormats the formats of all generations of engines
     * @param tenant index of the client's tenant
     * @throws ChatError if the request is faulty
     */
    static ClientRequest read(
            ApiFormat format, byte[] content, Collection<ApiFormat> engineFormats, ChatSettings settings, int tenant) {
        String id = UUID.randomUUID().toString().replace("-", "");
        List<String> warnings = new ArrayList<>();
        if (format == ApiFormat.CHAT && engineFormats.equals(List.of(ApiFormat.CHAT))) {
            ChatRequest details = ChatRequest.read(content, settings, tenant);
            return new ClientRequest(id, tenant, format, details, Optional.empty(), warnings);
        }
        try {
            TranslatableBody body = new TranslatableBody(format, content, settings.unknownFields(), warnings);
            checkChoices(body.conversation());
            ChatRequest details = ChatRequest.of(body.conversation(), settings, tenant);
            return new ClientRequest(id, tenant, format, details, Optional.of(body), warnings);
        } catch (UntranslatableRequestException e) {
            throw ChatError.untranslatable(e);
        }
    }

    private static void checkChoices(Conversation conversation) {
        if (conversation.number(RequestParameter.CHOICES, 1) != 1) {
            throw ChatError.invalid("only one choice is offered: n must be 1", "n");
        }
        if (conversation.number(RequestParameter.BEST_OF, 1) != 1) {
            throw ChatError.invalid("only one choice is offered: best_of must be 1", "best_of");
        }
    }
}

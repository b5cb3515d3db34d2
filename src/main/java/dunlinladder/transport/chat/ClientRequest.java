package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.StrictJson;
import dunlinladder.apiformat.UntranslatableRequestException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/**
 * A client's request as it was read.
 *
 * @param id the gateway's own, for this request
 * @param tenant the number of the tenant whose key came with it
 * @param format the client's format, in which it is answered
 * @param asked what it asks for
 * @param conversation the request in no format; empty where all engines speak the client's own
 * @param warnings a line for each field that was left out; translating for an engine adds to it
 */
record ClientRequest(
        String id,
        int tenant,
        ApiFormat format,
        ChatRequest asked,
        Optional<Conversation> conversation,
        List<String> warnings) {

    /**
     * Reads a request.
     *
     * @param engineFormats the formats that the engines speak
     * @throws ChatError where the request is at fault
     */
    static ClientRequest read(
            ApiFormat format, byte[] content, Collection<ApiFormat> engineFormats, ChatSettings settings, int tenant) {
        String id = UUID.randomUUID().toString().replace("-", "");
        List<String> warnings = new ArrayList<>();
        if (format == ApiFormat.CHAT && engineFormats.equals(List.of(ApiFormat.CHAT))) {
            ChatRequest asked = ChatRequest.read(content, settings, tenant);
            return new ClientRequest(id, tenant, format, asked, Optional.empty(), warnings);
        }
        try {
            Conversation conversation =
                    RequestTranslator.decode(format, StrictJson.body(content), settings.unknown(), warnings);
            checkChoices(conversation);
            ChatRequest asked = ChatRequest.of(conversation, settings, tenant);
            return new ClientRequest(id, tenant, format, asked, Optional.of(conversation), warnings);
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

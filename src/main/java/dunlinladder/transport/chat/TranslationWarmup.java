package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ContentPart;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyEvent;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.StrictJson;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Translates a short request and a short reply between all formats before the gateway accepts clients. Otherwise the
 * first requests would wait while classes are loaded, and their attempts would time out.
 */
public final class TranslationWarmup {

    private static final ReplyEncoder.Identity IDENTITY = new ReplyEncoder.Identity("0", "warm", 0, true, false, "");
    private static final List<ReplyEvent> REPLY_EVENTS = List.of(
            new ReplyEvent.Started("0", "warm", 0),
            new ReplyEvent.PartStarted(0, 0, ContentPart.Kind.TEXT, null, null),
            new ReplyEvent.PartDelta(0, 0, "a", null),
            new ReplyEvent.PartFinished(0, 0),
            new ReplyEvent.ChoiceFinished(0, ReplyEvent.Reason.STOP, null),
            new ReplyEvent.Usage(1, 0, 1, 0),
            new ReplyEvent.Completed());

    private TranslationWarmup() {}

    /** Translates between every format of clients and each format of the engines. */
    public static void run(Collection<ApiFormat> engineFormats) {
        for (ApiFormat engineFormat : engineFormats) {
            ReplyEncoder encoder = ReplyEncoder.of(engineFormat, IDENTITY);
            StringBuilder events = new StringBuilder();
            REPLY_EVENTS.forEach(event -> events.append(encoder.encode(event)));
            byte[] stream = events.toString().getBytes(StandardCharsets.UTF_8);
            for (ApiFormat clientFormat : ApiFormat.values()) {
                translateRequest(clientFormat, engineFormat);
                translateReply(engineFormat, clientFormat, stream, true);
                translateReply(engineFormat, clientFormat, stream, false);
            }
        }
    }

    private static void translateRequest(ApiFormat clientFormat, ApiFormat engineFormat) {
        byte[] body = ("{\"model\":\"warm\"," + promptFields(clientFormat) + "}").getBytes(StandardCharsets.UTF_8);
        Conversation conversation = RequestTranslator.decode(
                clientFormat, StrictJson.body(body), RequestTranslator.UnknownFields.PASS, new ArrayList<>());
        RequestTranslator.encode(engineFormat, conversation, 1, new ArrayList<>());
    }

    private static String promptFields(ApiFormat format) {
        return switch (format) {
            case COMPLETIONS -> "\"prompt\":\"a\"";
            case RESPONSES -> "\"input\":\"a\"";
            case CHAT, MESSAGES -> "\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
        };
    }

    private static void translateReply(ApiFormat from, ApiFormat to, byte[] stream, boolean streaming) {
        ReplyTranslator translator = new ReplyTranslator(from, to, IDENTITY, streaming);
        translator.translateChunk(ByteBuffer.wrap(stream), text -> {});
        translator.endOfStream(text -> {});
        if (!streaming) {
            translator.completeReply();
        }
    }
}

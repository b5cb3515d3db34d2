package dunlinladder.apiformat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers from each format to each other, streamed and whole, cut anywhere, broken anywhere. */
class RepliesTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ReplyEncoder.Identity IDENTITY = new ReplyEncoder.Identity("7", "shelf", 5, true, false, "");

    private static byte[] recorded(String name) throws IOException {
        try (InputStream in = RepliesTest.class.getResourceAsStream("/apiformat/" + name)) {
            assertNotNull(in, name);
            return in.readAllBytes();
        }
    }

    static Stream<Arguments> pairs() {
        return Arrays.stream(ApiFormat.values())
                .flatMap(from -> Arrays.stream(ApiFormat.values()).map(to -> Arguments.of(from, to)));
    }

    /** What an answer says, without how it was cut into pieces. */
    private static List<String> said(List<ReplyEvent> events) {
        List<String> said = new ArrayList<>();
        List<StringBuilder> parts = new ArrayList<>();
        for (ReplyEvent event : events) {
            if (event instanceof ReplyEvent.PartStarted open) {
                parts.add(new StringBuilder(
                        open.kind() + " " + (open.callId() == null ? "" : open.callId() + " " + open.name() + " ")));
            } else if (event instanceof ReplyEvent.PartDelta grow) {
                parts.get(grow.part()).append(grow.text());
            } else if (event instanceof ReplyEvent.PartFinished close) {
                said.add(parts.get(close.part()).toString());
            } else if (event instanceof ReplyEvent.ChoiceFinished finish) {
                said.add("finish " + finish.reason());
            } else if (event instanceof ReplyEvent.Usage usage) {
                said.add("usage " + usage.prompt() + " " + usage.cached() + " " + usage.output());
            } else if (event instanceof ReplyEvent.Failed failed) {
                said.add("failed " + failed.error().kind());
            } else if (event instanceof ReplyEvent.Completed) {
                said.add("end");
            }
        }
        return said;
    }

    private static List<ReplyEvent> read(ApiFormat format, byte[] stream) {
        List<ReplyEvent> events = new ArrayList<>();
        ReplyDecoder reader = ReplyDecoder.of(format);
        new ServerSentEventReader((name, data) -> events.addAll(reader.decodeEvent(name, data)))
                .read(ByteBuffer.wrap(stream));
        events.addAll(reader.endOfStream());
        return events;
    }

    private static String translate(ApiFormat from, ApiFormat to, byte[] stream, int step) {
        ReplyTranslator translation = new ReplyTranslator(from, to, IDENTITY, true);
        StringBuilder out = new StringBuilder();
        for (int at = 0; at < stream.length; at += step) {
            translation.translateChunk(ByteBuffer.wrap(stream, at, Math.min(step, stream.length - at)), out::append);
        }
        translation.endOfStream(out::append);
        return out.toString();
    }

    private static final List<String> TEXT =
            List.of("TEXT Zwei B\u00fccher \ud83d\udcda, \"neu\".", "finish STOP", "usage 120 64 9", "end");
    private static final List<String> CALLS = List.of(
            "TEXT Let me look.",
            "CALL c1 find {\"title\":\"Emma\"}",
            "CALL c2 price {\"id\":4}",
            "finish CALLS",
            "usage 50 0 30",
            "end");

    @ParameterizedTest
    @EnumSource(ApiFormat.class)
    void eachFormatsStreamIsUnderstood(ApiFormat format) throws IOException {
        assertEquals(TEXT, said(read(format, recorded("text-" + format.key() + ".sse"))));
    }

    @ParameterizedTest
    @EnumSource(value = ApiFormat.class, names = "COMPLETIONS", mode = EnumSource.Mode.EXCLUDE)
    void callsInPiecesAreUnderstood(ApiFormat format) throws IOException {
        assertEquals(CALLS, said(read(format, recorded("calls-" + format.key() + ".sse"))));
    }

    /** Cut at every byte or not at all, the client gets the same, and it says what the engine said. */
    @ParameterizedTest
    @MethodSource("pairs")
    void aStreamSaysTheSameInEachOtherFormat(ApiFormat from, ApiFormat to) throws IOException {
        byte[] stream = recorded("text-" + from.key() + ".sse");
        String whole = translate(from, to, stream, stream.length);
        assertEquals(TEXT, said(read(to, whole.getBytes(StandardCharsets.UTF_8))));
        for (int step : new int[] {1, 2, 3, 7, 64}) {
            assertEquals(whole, translate(from, to, stream, step));
        }
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void callsSayTheSameInEachOtherFormat(ApiFormat from, ApiFormat to) throws IOException {
        if (from != ApiFormat.COMPLETIONS && to != ApiFormat.COMPLETIONS) {
            byte[] stream = recorded("calls-" + from.key() + ".sse");
            assertEquals(CALLS, said(read(to, translate(from, to, stream, 5).getBytes(StandardCharsets.UTF_8))));
        }
    }

    /** A client that wants one answer gets what the stream says, put together. */
    @ParameterizedTest
    @MethodSource("pairs")
    void aWholeAnswerSaysWhatTheStreamSaid(ApiFormat from, ApiFormat to) throws IOException {
        ReplyTranslator translation = new ReplyTranslator(from, to, IDENTITY, false);
        translation.translateChunk(ByteBuffer.wrap(recorded("text-" + from.key() + ".sse")), text -> {});
        translation.endOfStream(text -> {});
        assertTrue(translation.isComplete());
        byte[] body = translation.completeReply().toString().getBytes(StandardCharsets.UTF_8);
        assertEquals(TEXT, said(ReplyDecoder.of(to).decodeComplete(body)));
    }

    /** A stream that ends after any of its events but the last has failed, and its client is told so. */
    @ParameterizedTest
    @MethodSource("pairs")
    void aStreamThatBreaksOffNeverEndsWell(ApiFormat from, ApiFormat to) throws IOException {
        String stream = new String(recorded("text-" + from.key() + ".sse"), StandardCharsets.UTF_8);
        String[] events = stream.split("(?<=\n\n)");
        int last = events.length;
        while (last > 0 && events[last - 1].startsWith(":")) {
            last--;
        }
        for (int kept = 0; kept < last; kept++) {
            byte[] part = String.join("", Arrays.copyOf(events, kept)).getBytes(StandardCharsets.UTF_8);
            ReplyTranslator translation = new ReplyTranslator(from, to, IDENTITY, true);
            StringBuilder out = new StringBuilder();
            translation.translateChunk(ByteBuffer.wrap(part), out::append);
            assertFalse(translation.isComplete(), "after " + kept);
            translation.endOfStream(out::append);
            assertEquals(
                    ApiError.Kind.GARBLED, translation.error().orElseThrow().kind());
            List<String> said = said(read(to, out.toString().getBytes(StandardCharsets.UTF_8)));
            assertTrue(said.get(said.size() - 1).startsWith("failed "), said.toString());
        }
    }

    /** An error in the midst of a stream is told in the client's own form, and nothing follows it. */
    @ParameterizedTest
    @MethodSource("pairs")
    void anErrorInMidStreamIsTold(ApiFormat from, ApiFormat to) throws IOException {
        String stream = new String(recorded("text-" + from.key() + ".sse"), StandardCharsets.UTF_8);
        String[] events = stream.split("(?<=\n\n)");
        String error = from == ApiFormat.MESSAGES
                ? "event: error\ndata: {\"type\":\"error\",\"error\":{\"type\":\"overloaded_error\"}}\n\n"
                : "data: {\"error\":{\"code\":\"server_error\",\"message\":\"secret host down\"}}\n\n";
        String broken = events[0] + events[1] + events[2] + error + events[3];
        String out = translate(from, to, broken.getBytes(StandardCharsets.UTF_8), 9);
        assertFalse(out.contains("secret"), out);
        List<String> said = said(read(to, out.getBytes(StandardCharsets.UTF_8)));
        assertTrue(said.get(said.size() - 1).startsWith("failed "), said.toString());
        assertFalse(said.contains("end"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "CHAT | {'choices':[{'index':0,'delta':{'content':'a'},'finish_reason':'length'}]} | LENGTH",
                "CHAT | {'choices':[{'index':0,'delta':{'content':'a'},'finish_reason':'content_filter'}]} | FILTER",
                "CHAT | {'choices':[{'index':0,'delta':{'content':'a'},'finish_reason':'novel'}]} | UNKNOWN",
                "MESSAGES | {'type':'message_delta','delta':{'stop_reason':'refusal'}} | REFUSAL",
                "MESSAGES | {'type':'message_delta','delta':{'stop_reason':'max_tokens'}} | LENGTH",
                "RESPONSES | {'type':'response.incomplete','response':{'status':'incomplete',"
                        + "'incomplete_details':{'reason':'content_filter'}}} | FILTER",
                "RESPONSES | {'type':'response.incomplete','response':{'status':'incomplete',"
                        + "'incomplete_details':{'reason':'max_output_tokens'}}} | LENGTH",
                "COMPLETIONS | {'choices':[{'index':0,'text':'a','finish_reason':'length'}]} | LENGTH"
            })
    void eachEndHasItsRow(ApiFormat from, String event, Reason reason) {
        List<ReplyEvent> events = ReplyDecoder.of(from).decodeEvent(null, event.replace('\'', '"'));
        assertEquals(
                reason,
                events.stream()
                        .filter(e -> e instanceof ReplyEvent.ChoiceFinished)
                        .map(e -> ((ReplyEvent.ChoiceFinished) e).reason())
                        .findFirst()
                        .orElseThrow());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "400 | {'error':{'type':'invalid_request_error','message':'x is bad','param':'x'}} | INVALID | true",
                "429 | {'error':{'type':'rate_limit_error','message':'your key'}} | RATE_LIMIT | false",
                "529 | {'type':'error','error':{'type':'overloaded_error'}} | OVERLOADED | false",
                "500 | {'error':{'type':'never heard of'}} | SERVER | false",
                "418 | {} | SERVER | false",
                "404 | {'error':{'code':'model_not_found'}} | SERVER | false",
                "0 | {'error':{'code':'content_filter'}} | FILTERED | true"
            })
    void eachErrorHasItsRow(int status, String body, ApiError.Kind kind, boolean mine) throws IOException {
        JsonNode node = JSON.readTree(body.replace('\'', '"'));
        assertEquals(kind, ErrorTranslator.decode(status, node).kind());
        assertEquals(mine, ErrorTranslator.isRequestError(status, node));
        for (ApiFormat to : ApiFormat.values()) {
            JsonNode told = ErrorTranslator.encode(to, ErrorTranslator.decode(status, node));
            assertFalse(told.toString().contains("your key"));
            assertTrue(told.path("error").path("message").isTextual());
        }
    }

    @Test
    void onlyWhatNeverRanIsRefused() {
        assertEquals(ErrorTranslator.Verdict.REFUSED, ErrorTranslator.verdict(true, false));
        assertEquals(ErrorTranslator.Verdict.FAILED, ErrorTranslator.verdict(true, true));
        assertEquals(ErrorTranslator.Verdict.FAILED, ErrorTranslator.verdict(false, false));
        assertTrue(ErrorTranslator.isFormatUnsupported(404));
        assertTrue(ErrorTranslator.isFormatUnsupported(415));
        assertFalse(ErrorTranslator.isFormatUnsupported(500));
    }

    /** The client sees one id, model and time through the stream, whatever the engine calls itself. */
    @ParameterizedTest
    @MethodSource("pairs")
    void theAnswersIdentityIsTheGateways(ApiFormat from, ApiFormat to) throws IOException {
        String out = translate(from, to, recorded("text-" + from.key() + ".sse"), 11);
        assertFalse(out.contains("engine-model") || out.contains("engine-id"), out);
        assertTrue(out.contains("shelf"));
    }

    @Test
    void logprobsEchoAndOlderCallsKeepTheirForm() throws IOException {
        ReplyEncoder.Identity old = new ReplyEncoder.Identity("7", "shelf", 5, false, true, "once ");
        ReplyTranslator text = new ReplyTranslator(ApiFormat.CHAT, ApiFormat.COMPLETIONS, old, false);
        text.translateChunk(
                ByteBuffer.wrap(("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"up\"},"
                                + "\"logprobs\":{\"content\":[{\"token\":\"up\",\"logprob\":-1.5,"
                                + "\"top_logprobs\":[{\"token\":\"on\",\"logprob\":-2.0}]}]},"
                                + "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
                        .getBytes(StandardCharsets.UTF_8)),
                t -> {});
        JsonNode choice = text.completeReply().path("choices").path(0);
        assertEquals("once up", choice.path("text").asText());
        assertEquals(
                "{\"tokens\":[\"up\"],\"token_logprobs\":[-1.5],\"top_logprobs\":[{\"on\":-2.0}]}",
                choice.path("logprobs").toString());
        ReplyTranslator call = new ReplyTranslator(ApiFormat.CHAT, ApiFormat.CHAT, old, false);
        call.translateChunk(ByteBuffer.wrap(recorded("calls-chat.sse")), t -> {});
        JsonNode message = call.completeReply().path("choices").path(0);
        assertEquals("function_call", message.path("finish_reason").asText());
        assertEquals(
                "find",
                message.path("message").path("function_call").path("name").asText());
        assertEquals(Optional.empty(), call.error());
    }
}

package dunlinladder.bench;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ContentPart;
import dunlinladder.apiformat.ReplyEncoder;
import dunlinladder.apiformat.ReplyEvent;
import dunlinladder.apiformat.ReplyTranslator;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.StrictJson;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What a translation costs: a request by its size, and one event of an answer, for each pair of formats. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class TranslationBench {

    private static final int EVENTS = 200;

    /** A request of some size, of two formats. */
    @State(Scope.Benchmark)
    public static class Request {
        /** From one format to another. */
        @Param({"CHAT RESPONSES", "RESPONSES CHAT", "CHAT MESSAGES", "MESSAGES CHAT", "COMPLETIONS RESPONSES"})
        public String pair;
        /** Kilobytes of text. */
        @Param({"1", "32", "250"})
        public int kilobytes;

        private ApiFormat from;
        private ApiFormat to;
        private byte[] body;

        /** Makes the body. */
        @Setup
        public void make() {
            from = ApiFormat.valueOf(pair.split(" ")[0]);
            to = ApiFormat.valueOf(pair.split(" ")[1]);
            String text = "All that is known of this copy. ".repeat(kilobytes * 32);
            String talk = switch (from) {
                case COMPLETIONS -> "\"prompt\":\"" + text + "\"";
                case RESPONSES -> "\"input\":\"" + text + "\"";
                default -> "\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}],\"max_tokens\":50";
            };
            body = ("{\"model\":\"m\",\"stream\":true,\"temperature\":0.5," + talk + "}")
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    /** An answer of many events, of two formats. */
    @State(Scope.Benchmark)
    public static class Answer {
        /** From one format to another. */
        @Param({
            "COMPLETIONS CHAT",
            "COMPLETIONS RESPONSES",
            "COMPLETIONS MESSAGES",
            "CHAT COMPLETIONS",
            "CHAT RESPONSES",
            "CHAT MESSAGES",
            "RESPONSES COMPLETIONS",
            "RESPONSES CHAT",
            "RESPONSES MESSAGES",
            "MESSAGES COMPLETIONS",
            "MESSAGES CHAT",
            "MESSAGES RESPONSES"
        })
        public String pair;

        private ApiFormat from;
        private ApiFormat to;
        private byte[] stream;

        /** Makes the stream. */
        @Setup
        public void make() {
            from = ApiFormat.valueOf(pair.split(" ")[0]);
            to = ApiFormat.valueOf(pair.split(" ")[1]);
            ReplyEncoder writer = ReplyEncoder.of(from, identity());
            StringBuilder text = new StringBuilder(writer.encode(new ReplyEvent.Started("e", "e", 1)));
            text.append(writer.encode(new ReplyEvent.PartStarted(0, 0, ContentPart.Kind.TEXT, null, null)));
            for (int i = 0; i < EVENTS; i++) {
                text.append(writer.encode(new ReplyEvent.PartDelta(0, 0, "four words at once ", null)));
            }
            text.append(writer.encode(new ReplyEvent.PartFinished(0, 0)));
            text.append(writer.encode(new ReplyEvent.ChoiceFinished(0, ReplyEvent.Reason.STOP, null)));
            text.append(writer.encode(new ReplyEvent.Usage(9, 0, 800, -1)));
            text.append(writer.encode(new ReplyEvent.Completed()));
            stream = text.toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private static ReplyEncoder.Identity identity() {
        return new ReplyEncoder.Identity("7", "shelf", 5, true, false, "");
    }

    /** A request's bytes in, the other format's bytes out. */
    @Benchmark
    public int request(Request request) {
        return RequestTranslator.encode(
                        request.to,
                        RequestTranslator.decode(
                                request.from,
                                StrictJson.body(request.body),
                                RequestTranslator.UnknownFields.PASS,
                                new ArrayList<>()),
                        800,
                        new ArrayList<>())
                .toString()
                .getBytes(StandardCharsets.UTF_8)
                .length;
    }

    /** One event of an answer; its opening and end are shared out. */
    @Benchmark
    @OperationsPerInvocation(EVENTS)
    public int event(Answer answer) {
        ReplyTranslator translation = new ReplyTranslator(answer.from, answer.to, identity(), true);
        int[] length = {0};
        translation.translateChunk(
                ByteBuffer.wrap(answer.stream), text -> length[0] += text.getBytes(StandardCharsets.UTF_8).length);
        translation.endOfStream(text -> length[0] += text.length());
        if (!translation.isComplete()) {
            throw new IllegalStateException("not whole: " + translation.error());
        }
        return length[0];
    }
}

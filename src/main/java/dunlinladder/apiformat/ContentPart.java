package dunlinladder.apiformat;

/** A piece of a message in the neutral model. */
public sealed interface ContentPart {

    /** The kinds of pieces, which formats carry or not. */
    enum Kind {
        TEXT,
        IMAGE,
        AUDIO,
        FILE,
        CALL,
        RESULT,
        THOUGHT,
        REFUSAL
    }

    /** Its kind. */
    Kind kind();

    /** Text. */
    record Text(String text) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.TEXT;
        }
    }

    /** A picture by its address, which may be a {@code data:} one; {@code detail} may be null. */
    record Image(String url, String detail) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.IMAGE;
        }
    }

    /** Sound, base64, in a format such as {@code wav}. */
    record Audio(String data, String format) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.AUDIO;
        }
    }

    /** A file: its content as a {@code data:} address, or an id; the other is null, as may be the name. */
    record File(String name, String data, String id) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.FILE;
        }
    }

    /** A tool that the model called; {@code arguments} is JSON text. */
    record Call(String id, String name, String arguments) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.CALL;
        }
    }

    /** What a called tool gave. */
    record Result(String callId, String text, boolean error) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.RESULT;
        }
    }

    /** The model's own reasoning; {@code seal} is what the maker signs or encrypts it with, or null. */
    record Thought(String text, String seal) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.THOUGHT;
        }
    }

    /** The model's own refusal, which is an answer. */
    record Refusal(String text) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.REFUSAL;
        }
    }
}

package dunlinladder.apiformat;

/** A part of a message's content in the neutral model. Components that a format may leave out are null. */
public sealed interface ContentPart {

    /** The kinds of content parts; {@link TranslationTable} says which format carries which. */
    enum Kind {
        /** Text. */
        TEXT,
        /** An image. */
        IMAGE,
        /** Recorded sound. */
        AUDIO,
        /** A file. */
        FILE,
        /** The model's call of a tool. */
        CALL,
        /** The result of a call of a tool. */
        RESULT,
        /** The model's reasoning. */
        THOUGHT,
        /** The model's refusal to answer, which is a reply like any other. */
        REFUSAL
    }

    /** The part's kind. */
    Kind kind();

    /** Text. */
    record Text(String text) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.TEXT;
        }
    }

    /**
     * An image.
     *
     * @param url its URL, which may be a {@code data:} one
     * @param detail the resolution at which the model should see it, or null
     */
    record Image(String url, String detail) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.IMAGE;
        }
    }

    /**
     * Recorded sound.
     *
     * @param data in base64
     * @param format such as {@code wav}
     */
    record Audio(String data, String format) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.AUDIO;
        }
    }

    /**
     * A file, by its content or by its id.
     *
     * @param name the file's name, or null
     * @param data its content as a {@code data:} URL, or null
     * @param id the id under which the engine stores it, or null
     */
    record File(String name, String data, String id) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.FILE;
        }
    }

    /**
     * The model's call of a tool.
     *
     * @param id by which the result refers to the call
     * @param name of the tool
     * @param arguments JSON as text
     */
    record Call(String id, String name, String arguments) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.CALL;
        }
    }

    /**
     * The result of a call of a tool.
     *
     * @param callId of the call
     * @param text what the tool returned
     * @param error whether the tool failed
     */
    record Result(String callId, String text, boolean error) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.RESULT;
        }
    }

    /**
     * The model's reasoning.
     *
     * @param text of the reasoning or its summary; empty where all of it is encrypted
     * @param signature with which the engine signs or encrypts it, or null
     */
    record Thought(String text, String signature) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.THOUGHT;
        }
    }

    /** The model's refusal to answer. */
    record Refusal(String text) implements ContentPart {
        @Override
        public Kind kind() {
            return Kind.REFUSAL;
        }
    }
}

package dunlinladder.apiformat;

/** A part of a message's content in the neutral model. Components that a format may omit are null. */
public sealed interface ContentPart {

    /** The kinds of content parts; {@link TranslationTable} defines which formats support which kinds. */
    enum Kind {
        /** Text. */
        TEXT,
        /** An image. */
        IMAGE,
        /** Recorded sound. */
        AUDIO,
        /** A file. */
        FILE,
        /** A call of a tool by the model. */
        CALL,
        /** The result of a call of a tool. */
        RESULT,
        /** The model's reasoning. */
        THOUGHT,
        /** The model's refusal to answer, which is a regular reply, not an error. */
        REFUSAL
    }

    /** Returns the part's kind. */
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
     * @param url its URL, which may be a {@code data:} URL
     * @param detail the resolution at which the model should process it, or null
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
     * @param data the sound, in base64
     * @param format the format of the sound, such as {@code wav}
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
     * A call of a tool by the model.
     *
     * @param id the id by which the result refers to the call
     * @param name the name of the tool
     * @param arguments the arguments, as JSON text
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
     * @param callId the id of the call
     * @param text the text that the tool returned
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
     * @param text the reasoning or its summary; empty if all of it is encrypted
     * @param signature the engine's signature of the reasoning, or the encrypted reasoning, or null
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

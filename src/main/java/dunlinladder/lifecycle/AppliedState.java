package dunlinladder.lifecycle;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.UUID;

/**
 * The applied state of the chat configuration.
 *
 * @param serial serial number of the state, 0 before the first apply; each apply with changes increments it. It begins
 *     anew where the file is lost, so it does not identify a state
 * @param id random id that the apply gave the state; empty before the first apply, and in files of earlier versions
 * @param settings the settings of the state
 */
record AppliedState(long serial, String id, FlatSettings settings) {

    private static final String SERIAL_FIELD = "serial";
    private static final String ID_FIELD = "id";
    private static final String NO_ID = "";

    /** Returns the state before the first apply. */
    static AppliedState none() {
        return new AppliedState(0, NO_ID, FlatSettings.empty());
    }

    /** Returns the state that follows this one when these settings are applied. */
    AppliedState next(FlatSettings nextSettings) {
        return new AppliedState(serial + 1, UUID.randomUUID().toString(), nextSettings);
    }

    /**
     * Reads the applied state. An absent file stands for the state before the first apply.
     *
     * @throws dunlinladder.transport.json.InvalidInputException if the file is not a regular file, is too large, is
     *     malformed or does not match its checksum; the message names the file
     */
    static AppliedState read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return none();
        }
        return StateFile.read(
                file,
                SERIAL_FIELD,
                (json, settings) -> new AppliedState(
                        json.integer(SERIAL_FIELD), json.has(ID_FIELD) ? json.text(ID_FIELD) : NO_ID, settings));
    }

    /** Writes this state to {@code file}. */
    void write(Path file) throws IOException {
        StateFile.write(file, SERIAL_FIELD, serial, settings, Map.of(ID_FIELD, id));
    }

    /**
     * Returns a digest of the serial number, the id and the settings. Two states have the same one only if one is a
     * copy of the other, or if both come from versions without ids and are equal.
     */
    String revision() {
        StringBuilder text = new StringBuilder(serial + "\n" + id);
        settings.values()
                .forEach((key, value) ->
                        text.append('\n').append(key).append('=').append(value));
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256").digest(text.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }
}

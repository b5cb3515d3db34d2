package dunlinladder.lifecycle;

import dunlinladder.transport.http.TransientFailures;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Reads and writes files that hold a state of the chat configuration: the applied state and saved plans. A file is one
 * JSON object with a serial number, a checksum, the flat settings and further fields.
 */
final class StateFile {

    private static final String CHECKSUM_FIELD = "checksum";
    private static final String SETTINGS_FIELD = "settings";
    /** Far more than an operator's file needs. */
    private static final long MAX_BYTES = 1024 * 1024;

    private StateFile() {}

    /** Creates the content of a file from its fields and its settings. */
    @FunctionalInterface
    interface Content<T> {

        /** Returns the content; {@code json} holds all fields. */
        T of(JsonObject json, FlatSettings settings);
    }

    /**
     * Reads a file.
     *
     * @param serialField the field that the checksum covers beside the settings
     * @throws InvalidInputException if the file is not a regular file, is too large, is malformed or does not match its
     *     checksum; the message names the file
     */
    static <T> T read(Path file, String serialField, Content<T> content) throws IOException {
        if (!Files.isRegularFile(file) || Files.size(file) > MAX_BYTES) {
            throw new InvalidInputException(file + ": must be a regular file of at most " + MAX_BYTES + " bytes");
        }
        try {
            JsonObject json = JsonObject.parse(Files.readString(file));
            FlatSettings settings = settings(json.child(SETTINGS_FIELD));
            if (json.has(CHECKSUM_FIELD)
                    && json.integer(CHECKSUM_FIELD) != checksum(json.integer(serialField), settings)) {
                throw new InvalidInputException("the content does not match its checksum");
            }
            return content.of(json, settings);
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static FlatSettings settings(JsonObject json) {
        SortedMap<String, String> values = new TreeMap<>();
        json.fields().keySet().forEach(key -> values.put(key, json.text(key)));
        return FlatSettings.of(values);
    }

    /** Writes a file; {@code moreFields} are fields in addition to the serial number, the checksum and the settings. */
    static void write(Path file, String serialField, long serial, FlatSettings settings, Map<String, String> moreFields)
            throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>(moreFields);
        fields.put(serialField, serial);
        fields.put(CHECKSUM_FIELD, checksum(serial, settings));
        fields.put(SETTINGS_FIELD, settings.values());
        String text = JsonObject.write(fields) + "\n";
        // A full disk or a disk error may be temporary.
        TransientFailures.retry("write-state", () -> {
            replace(file, text);
            return file;
        });
    }

    /** Computes the CRC-32C checksum of the serial number and all settings in the order of their keys. */
    private static long checksum(long serial, FlatSettings settings) {
        CRC32C checksum = new CRC32C();
        checksum.update(Long.toString(serial).getBytes(StandardCharsets.UTF_8));
        settings.values()
                .forEach((key, value) -> checksum.update(("\n" + key + "=" + value).getBytes(StandardCharsets.UTF_8)));
        return checksum.getValue();
    }

    /** Replaces the file atomically, so that a crash leaves the old file. */
    private static void replace(Path file, String text) throws IOException {
        Path temporary = Files.createTempFile(
                file.toAbsolutePath().getParent(), file.getFileName().toString(), ".part");
        try {
            try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
                ByteBuffer bytes = StandardCharsets.UTF_8.encode(text);
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                channel.force(true);
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            syncParentFolder(file);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Syncs the folder of the file. Without this, a crash could bring back the old file after success was reported. */
    private static void syncParentFolder(Path file) throws IOException {
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }
}

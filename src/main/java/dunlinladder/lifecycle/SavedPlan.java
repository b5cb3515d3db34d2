package dunlinladder.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * A saved plan: the settings that it leads to, and the state for which it was made.
 *
 * @param baseSerial serial number of that state
 * @param baseRevision {@linkplain AppliedState#revision() revision} of that state; empty in files of earlier versions,
 *     which do not say for which of the states with this number they were made
 * @param settings the settings after the plan
 */
record SavedPlan(long baseSerial, String baseRevision, FlatSettings settings) {

    private static final String BASE_FIELD = "base";
    private static final String BASE_REVISION_FIELD = "base_revision";
    private static final String NO_REVISION = "";

    /** Creates a plan that leads from a state to these settings. */
    static SavedPlan from(AppliedState base, FlatSettings settings) {
        return new SavedPlan(base.serial(), base.revision(), settings);
    }

    /**
     * Reads a saved plan.
     *
     * @throws dunlinladder.transport.json.InvalidInputException if the file is absent, not a regular file, too large or
     *     malformed, or does not match its checksum; the message names the file
     */
    static SavedPlan read(Path file) throws IOException {
        return StateFile.read(
                file,
                BASE_FIELD,
                (json, settings) -> new SavedPlan(
                        json.integer(BASE_FIELD),
                        json.has(BASE_REVISION_FIELD) ? json.text(BASE_REVISION_FIELD) : NO_REVISION,
                        settings));
    }

    /** Writes this plan to {@code file}. */
    void write(Path file) throws IOException {
        StateFile.write(file, BASE_FIELD, baseSerial, settings, Map.of(BASE_REVISION_FIELD, baseRevision));
    }

    /** Whether this plan was made for this very state. */
    boolean isFor(AppliedState state) {
        return baseRevision.equals(state.revision());
    }

    /** Returns why this plan may not be applied to the current state, for the operator. */
    String staleReason(AppliedState current) {
        if (baseRevision.isEmpty()) {
            return "it was saved by an earlier version and does not identify the state that it was made for";
        }
        String currentState =
                baseSerial == current.serial() ? "another state with that number" : String.valueOf(current.serial());
        return "it was made for state " + baseSerial + ", but the current state is " + currentState;
    }
}

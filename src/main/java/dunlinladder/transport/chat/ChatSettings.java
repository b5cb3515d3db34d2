package dunlinladder.transport.chat;

import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.migration.Generation;
import dunlinladder.migration.MigrationPlan;
import java.util.List;
import java.util.Map;

/**
 * The chat front as its operator set it up; names are already turned into the settings' numbers.
 *
 * @param tenants API key to the number of its tenant
 * @param models model name to its class
 * @param deadlines seconds until a first token is no longer waited for, by class
 * @param nonIdempotent by class, whether a request must never run twice
 * @param engines which engines speak which format, in the order in which they are asked
 * @param move how the fleet moves between two of them, null where it does not
 * @param unknown what becomes of fields that no format's table has
 */
public record ChatSettings(
        Map<String, Integer> tenants,
        Map<String, Model> models,
        List<Double> deadlines,
        List<Boolean> nonIdempotent,
        List<Generation> engines,
        MigrationPlan move,
        RequestTranslator.UnknownFields unknown) {

    /** What a model name stands for; {@code defaultMaxTokens} holds where the client sets no bound. */
    public record Model(int serviceClass, int defaultMaxTokens) {}
}

package dunlinladder.transport.chat;

import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.migration.Generation;
import dunlinladder.migration.MigrationPlan;
import java.util.List;
import java.util.Map;

/**
 * The operator's settings of the chat front. Tenants, service classes, machine kinds and zones are given by their
 * indexes in the deployment's settings.
 *
 * @param tenants index of the tenant by API key
 * @param models settings of each model by its name
 * @param deadlines seconds within which the first token must come, by service class
 * @param clientRetryHarmless whether a client may retry a request that may have run, by service class
 * @param generations the generations of engines, in the order in which an engine is matched against them
 * @param migrationPlan the plan of a migration between two of these generations, null if there is none
 * @param unknownFields what to do with fields that the client's format does not define
 */
public record ChatSettings(
        Map<String, Integer> tenants,
        Map<String, Model> models,
        List<Double> deadlines,
        List<Boolean> clientRetryHarmless,
        List<Generation> generations,
        MigrationPlan migrationPlan,
        RequestTranslator.UnknownFields unknownFields) {

    /**
     * The settings of a model.
     *
     * @param serviceClass index of the service class of its requests
     * @param defaultMaxTokens limit on the length of a reply in tokens if the client sets none
     */
    public record Model(int serviceClass, int defaultMaxTokens) {}
}

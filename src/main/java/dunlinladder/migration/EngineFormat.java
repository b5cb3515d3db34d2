package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import java.util.Optional;

/**
 * An engine and the format in which it is addressed: evidence is of both, so an engine that moves is judged anew.
 *
 * @param engineId the engine's id
 * @param format empty where the engine belongs to no generation
 */
record EngineFormat(String engineId, Optional<ApiFormat> format) {}

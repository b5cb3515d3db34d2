package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import java.util.Optional;

/**
 * An engine and the format in which requests are sent to it. Evidence is kept for the pair, so an engine that migrates
 * to another format starts without evidence.
 *
 * @param engineId the engine's id
 * @param format empty if the engine belongs to no generation
 */
record EngineFormat(String engineId, Optional<ApiFormat> format) {}

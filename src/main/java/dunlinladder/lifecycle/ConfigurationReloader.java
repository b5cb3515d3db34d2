package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the configuration of a running gateway. An invalid file must not disturb a gateway that is serving: the
 * gateway keeps its configuration, and the reason is logged.
 *
 * <p>Called by the SIGHUP thread and by the threads {@code configuration}. This object's monitor guards the
 * modification time of the last check and ensures that only one reload runs at a time.
 */
final class ConfigurationReloader {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReloader.class);

    private final Gateway gateway;
    private final Map<String, String> environment;
    /** Modification time of the file at the last check; null before the first check. */
    private FileTime lastModified;

    ConfigurationReloader(Gateway gateway, Map<String, String> environment) {
        this.gateway = gateway;
        this.environment = environment;
    }

    /** Reads the configuration again and applies it. If the configuration is invalid, only logs the reason. */
    synchronized void reload() {
        try {
            gateway.reload(GatewayConfigReader.reread(environment));
            LOG.info("event=configuration_reloaded");
        } catch (InvalidInputException e) {
            LOG.error("event=configuration_rejected reason=\"{}\"", e.getMessage());
        }
    }

    /**
     * Reloads the configuration if the modification time of the file has changed since the last check, or at the first
     * check. Call this while discovery does not answer: the address of discovery may have changed without a SIGHUP
     * reaching this process. A JVM that was started with SIGHUP ignored, for instance under nohup, never receives the
     * signal, even if it installs a handler.
     */
    synchronized void reloadIfChanged() {
        try {
            Path file = Path.of(environment.get(GatewayConfigReader.CONFIG_VARIABLE));
            FileTime modified = Files.getLastModifiedTime(file);
            if (!modified.equals(lastModified)) {
                lastModified = modified;
                reload();
            }
        } catch (IOException e) {
            LOG.warn("event=configuration_unreadable reason=\"{}\"", e.toString());
        }
    }
}

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
 * Has a running gateway take up a new configuration. A faulty file must not cost a gateway that serves: it keeps what
 * it has, and the log says why.
 *
 * <p>Called by the thread of SIGHUP and by the threads {@code configuration}; this object's monitor guards the time of
 * the last look and keeps reloads apart.
 */
final class ConfigurationReloader {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReloader.class);

    private final Gateway gateway;
    private final Map<String, String> environment;
    /** When the file had last changed at the last look; null before the first. */
    private FileTime lastModified;

    ConfigurationReloader(Gateway gateway, Map<String, String> environment) {
        this.gateway = gateway;
        this.environment = environment;
    }

    /** Reads the configuration again and takes it up, or logs why not. */
    synchronized void reload() {
        try {
            gateway.reload(GatewayConfigReader.reread(environment));
            LOG.info("event=configuration_reloaded");
        } catch (InvalidInputException e) {
            LOG.error("event=configuration_rejected reason=\"{}\"", e.getMessage());
        }
    }

    /**
     * Reloads where the file has changed since the last look. To be called while discovery does not answer: it may have
     * moved although no SIGHUP came, as a JVM started where that signal is ignored, for instance under nohup, never
     * gets it, whatever handler it asks for.
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

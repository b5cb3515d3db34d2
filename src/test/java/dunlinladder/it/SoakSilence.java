package dunlinladder.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Set;

/** The ways in which an engine of the soak falls silent under the connections that are kept to it. */
enum SoakSilence {
    /** Its process is stopped: the kernel accepts connections and bytes. */
    FROZEN,
    /** Nothing passes its link; new connections come up. */
    LINK,
    /** Nothing gets to it. */
    TO_ENGINE,
    /** Nothing gets back from it. */
    FROM_ENGINE,
    /** Nothing passes, and new connections never come up. */
    CUT_OFF,
    /** Nothing passes on the connections that are open now. */
    OPEN_CONNECTIONS;

    void begin(SoakFleet.Engine engine) {
        try {
            switch (this) {
                case FROZEN -> engine.process.signal("STOP");
                case LINK -> engine.link.fallSilent(Set.of(FaultyLink.Direction.values()));
                case TO_ENGINE -> engine.link.fallSilent(Set.of(FaultyLink.Direction.TO_SERVER));
                case FROM_ENGINE -> engine.link.fallSilent(Set.of(FaultyLink.Direction.FROM_SERVER));
                case CUT_OFF -> engine.link.cutOff();
                case OPEN_CONNECTIONS -> engine.link.silenceOpenConnections();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All that was written meanwhile arrives. */
    void end(SoakFleet.Engine engine) {
        try {
            if (this == FROZEN) {
                engine.process.signal("CONT");
            } else {
                engine.link.restore();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package dunlinladder.membership;

/**
 * How far the engine list is known.
 *
 * @param version resource version of the last update that was applied; 0 for none
 * @param snapshotNeeded whether the next connection has to ask for a snapshot
 */
record ListPosition(long version, boolean snapshotNeeded) {

    /** The version after which the next connection asks for updates; 0 asks for a snapshot. */
    long since() {
        return snapshotNeeded ? 0 : version;
    }

    /**
     * Whether an update is to be applied: it is newer, or it is the snapshot that was asked for, which counts whatever
     * its version is.
     */
    boolean accepts(EndpointUpdate update, boolean requestedSnapshot) {
        return update.version() > version || update.isSnapshot() && requestedSnapshot;
    }

    ListPosition after(EndpointUpdate update) {
        return new ListPosition(update.version(), snapshotNeeded && !update.isSnapshot());
    }

    ListPosition needingSnapshot() {
        return new ListPosition(version, true);
    }

    /** After an update that could not be applied. */
    ListPosition rolledBackTo(long previousVersion) {
        return new ListPosition(Math.min(version, previousVersion), true);
    }
}

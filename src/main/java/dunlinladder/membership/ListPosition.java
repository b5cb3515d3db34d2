package dunlinladder.membership;

/**
 * The version of the engine list that was reached by the updates so far.
 *
 * @param version resource version of the last update that was applied; 0 for none
 * @param snapshotNeeded whether the next connection has to request a snapshot
 */
record ListPosition(long version, boolean snapshotNeeded) {

    /** Returns the version after which the next connection requests updates; 0 requests a snapshot. */
    long since() {
        return snapshotNeeded ? 0 : version;
    }

    /**
     * Whether an update is to be applied: it is newer, or it is a snapshot that was requested, whose version does not
     * matter.
     *
     * @param requestedSnapshot whether the connection that brought the update requested a snapshot
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

    /** Returns the position after an update could not be applied. */
    ListPosition rolledBackTo(long previousVersion) {
        return new ListPosition(Math.min(version, previousVersion), true);
    }
}

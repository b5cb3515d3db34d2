package dunlinladder.membership;

import java.util.Optional;

/**
 * The address of discovery.
 *
 * @param address host and port; empty before the first {@link WatchEvent.AddressChanged}
 * @param unconfirmed whether the address has changed and neither an update nor a heartbeat has come from the new
 *     address
 */
record DiscoveryTarget(Optional<String> address, boolean unconfirmed) {

    static final DiscoveryTarget UNKNOWN = new DiscoveryTarget(Optional.empty(), false);

    boolean isAt(String other) {
        return address.isPresent() && address.get().equals(other);
    }

    /** Returns the target after a change of the address; the first address replaces none and needs no confirmation. */
    DiscoveryTarget movedTo(String next) {
        return new DiscoveryTarget(Optional.of(next), address.isPresent());
    }

    DiscoveryTarget confirmed() {
        return new DiscoveryTarget(address, false);
    }
}

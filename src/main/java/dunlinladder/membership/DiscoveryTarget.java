package dunlinladder.membership;

import java.util.Optional;

/**
 * Where discovery is.
 *
 * @param address host and port; empty before the first {@link WatchEvent.AddressChanged}
 * @param unconfirmed whether the address has changed and nothing has come from the new one yet
 */
record DiscoveryTarget(Optional<String> address, boolean unconfirmed) {

    static final DiscoveryTarget UNKNOWN = new DiscoveryTarget(Optional.empty(), false);

    boolean isAt(String other) {
        return address.isPresent() && address.get().equals(other);
    }

    /** After a change of the address; the first address replaces none and so has nothing to confirm. */
    DiscoveryTarget movedTo(String next) {
        return new DiscoveryTarget(Optional.of(next), address.isPresent());
    }

    DiscoveryTarget confirmed() {
        return new DiscoveryTarget(address, false);
    }
}

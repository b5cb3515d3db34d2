package dunlinladder.migration;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Draws by name: the same at every gateway, so that gateways which share nothing agree. */
final class NameHash {

    /** 2^64 divided by the golden ratio, as in Fibonacci hashing: spreads what lies close together. */
    private static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Bits of a long that a double between 0 and 1 cannot hold. */
    private static final int SURPLUS_BITS = Long.SIZE - 53;

    private static final double UNIT = 0x1p-53;

    private NameHash() {}

    /** The fixed place of a name from 0 to below 1. */
    static double fraction(String name) {
        CRC32 checksum = new CRC32();
        checksum.update(name.getBytes(StandardCharsets.UTF_8));
        // Neighbours in name lie close in the checksum alone.
        return (checksum.getValue() * FIBONACCI_MULTIPLIER >>> SURPLUS_BITS) * UNIT;
    }
}

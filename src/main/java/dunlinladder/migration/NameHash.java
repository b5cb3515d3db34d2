package dunlinladder.migration;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Maps names to fractions. Every gateway gets the same fraction, so gateways agree without communicating. */
final class NameHash {

    /** 2^64 divided by the golden ratio, as in Fibonacci hashing; spreads values that are close together. */
    private static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Bits of a long that a double between 0 and 1 cannot hold. */
    private static final int SURPLUS_BITS = Long.SIZE - 53;

    private static final double FRACTION_UNIT = 0x1p-53;

    private NameHash() {}

    /** Returns the fixed fraction of a name, from 0 to below 1. */
    static double fraction(String name) {
        CRC32 checksum = new CRC32();
        checksum.update(name.getBytes(StandardCharsets.UTF_8));
        // Without the multiplication, similar names would have fractions that are close together.
        return (checksum.getValue() * FIBONACCI_MULTIPLIER >>> SURPLUS_BITS) * FRACTION_UNIT;
    }
}

package dunlinladder.membership;

/**
 * An immutable random number generator, which keeps the watch a pure function. It is a linear congruential generator
 * modulo 2^64 with Knuth's MMIX constants.
 *
 * @param state state of the generator; initially the seed
 */
record Jitter(long state) {

    private static final long MULTIPLIER = 6364136223846793005L;
    private static final long INCREMENT = 1442695040888963407L;
    /** The upper 53 bits are used, which fit the mantissa of a double; the lower bits are less random. */
    private static final int UNUSED_BITS = 11;
    /** The distance between two neighbouring fractions. */
    private static final double FRACTION_STEP = 0x1p-53;

    Jitter next() {
        return new Jitter(state * MULTIPLIER + INCREMENT);
    }

    /** Returns the random number of this state; uniformly distributed from 0 (inclusive) to 1 (exclusive). */
    double fraction() {
        return (state >>> UNUSED_BITS) * FRACTION_STEP;
    }
}

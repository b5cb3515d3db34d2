package dunlinladder.membership;

/**
 * A source of random numbers as a value, so that the watch stays a pure function: a linear congruential generator
 * modulo 2^64 with Knuth's MMIX constants.
 *
 * @param state state of the generator; the seed at first
 */
record Jitter(long state) {

    private static final long MULTIPLIER = 6364136223846793005L;
    private static final long INCREMENT = 1442695040888963407L;
    /** The upper 53 bits, as many as the mantissa of a double holds, are used; the lower ones are less random. */
    private static final int UNUSED_BITS = 11;

    private static final double UNIT = 0x1p-53;

    Jitter next() {
        return new Jitter(state * MULTIPLIER + INCREMENT);
    }

    /** The number of this state: evenly from 0, included, to 1, excluded. */
    double fraction() {
        return (state >>> UNUSED_BITS) * UNIT;
    }
}

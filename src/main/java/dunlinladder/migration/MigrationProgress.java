package dunlinladder.migration;

import dunlinladder.migration.MigrationPlan.Stage;
import dunlinladder.migration.MigrationPlan.Stop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * How far a move has come, as one gateway sees it. A stage that goes well for its time opens the next; one that does
 * not ends the move there, or goes back and tries again after ever longer waits. Gateways share nothing: each opens a
 * stage a little later than its time, by chance, so that no engine gets the first requests of all at once.
 *
 * <p>Time is handed in, in seconds; not safe for use by several threads at once.
 */
public final class MigrationProgress {

    /** Where a move stands. */
    public enum State {
        MOVING,
        STOPPED,
        DONE
    }

    /** Answers whose delays are remembered, of each generation. */
    private static final int DELAYS = 256;
    /** Part of a stage's time by which a gateway may open the next one later than another. */
    private static final double SPREAD = 0.25;
    /** Goings back after which the move stops for good. */
    private static final int BACKS = 3;

    private final MigrationPlan move;
    private final Random random;
    private int stage;
    private double openedAt;
    private double due;
    private int backs;
    private State state = State.MOVING;
    private String reason = "";
    private final Side old = new Side();
    private final Side young = new Side();

    /** What a generation has answered since the stage opened. */
    private static final class Side {
        int answers;
        int failed;
        int untranslatable;
        final List<Double> delays = new ArrayList<>();
        int next;

        void delay(double seconds) {
            if (delays.size() < DELAYS) {
                delays.add(seconds);
            } else {
                delays.set(next++ % DELAYS, seconds);
            }
        }

        double median() {
            List<Double> sorted = new ArrayList<>(delays);
            Collections.sort(sorted);
            return sorted.isEmpty() ? Double.NaN : sorted.get((sorted.size() - 1) / 2);
        }

        double failedShare() {
            return answers == 0 ? 0 : (double) failed / answers;
        }

        void clear() {
            answers = 0;
            failed = 0;
            untranslatable = 0;
            delays.clear();
            next = 0;
        }
    }

    /** Opens the first stage at clock time {@code now}. */
    public MigrationProgress(MigrationPlan move, long seed, double now) {
        this.move = move;
        this.random = new Random(seed);
        open(0, now);
    }

    private void open(int next, double now) {
        stage = next;
        openedAt = now;
        double hold = stage().holdSeconds() * (1L << backs);
        due = now + hold * (1 + SPREAD * random.nextDouble());
        old.clear();
        young.clear();
    }

    /** The stage that is open. */
    public Stage stage() {
        return move.stages().get(stage);
    }

    /** Its number, from 0. */
    public int number() {
        return stage;
    }

    /** When it opened, in clock seconds. */
    public double openedAt() {
        return openedAt;
    }

    /** Where the move stands. */
    public State state() {
        return state;
    }

    /** Why it stopped or went back last; empty where it did not. */
    public String reason() {
        return reason;
    }

    /**
     * An answer came, or failed to.
     *
     * @param moved whether from an engine of the new generation
     * @param delay seconds to the first token, NaN where there was none
     */
    public void answered(boolean moved, boolean failed, double delay, double now) {
        Side side = moved ? young : old;
        side.answers++;
        side.failed += failed ? 1 : 0;
        if (!Double.isNaN(delay)) {
            side.delay(delay);
        }
        look(now);
    }

    /** A request could not be expressed in the new generation's format. */
    public void untranslatable(double now) {
        young.untranslatable++;
        look(now);
    }

    /** Time has passed. */
    public void tick(double now) {
        look(now);
    }

    private void look(double now) {
        if (state != State.MOVING) {
            return;
        }
        String fault = fault();
        if (fault != null) {
            reason = fault;
            if (!move.stop().back() || backs >= BACKS) {
                state = State.STOPPED;
            } else {
                backs++;
                open(Math.max(0, stage - 1), now);
            }
        } else if (now >= due && young.answers >= move.stop().least()) {
            if (stage + 1 < move.stages().size()) {
                open(stage + 1, now);
            } else {
                state = State.DONE;
            }
        }
    }

    /** What speaks against the stage, null where nothing does. */
    private String fault() {
        Stop stop = move.stop();
        int asked = young.answers + young.untranslatable;
        if (asked >= stop.least() && (double) young.untranslatable / asked > stop.untranslatable()) {
            return "untranslatable " + young.untranslatable + " of " + asked;
        }
        if (young.answers < stop.least()) {
            return null;
        }
        if (young.failedShare() > stop.failed() + old.failedShare()) {
            return "failed " + young.failed + " of " + young.answers;
        }
        if (old.delays.size() >= stop.least()
                && young.delays.size() >= stop.least()
                && young.median() > stop.delay() * old.median()) {
            return String.format(Locale.ROOT, "first token after %.3f s against %.3f s", young.median(), old.median());
        }
        return null;
    }
}

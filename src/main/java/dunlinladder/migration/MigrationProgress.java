package dunlinladder.migration;

import dunlinladder.migration.MigrationPlan.Stage;
import dunlinladder.migration.MigrationPlan.Stop;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

/**
 * How far a migration has come, as one gateway sees it. A stage that goes well for its time opens the next; one that
 * does not ends the migration there, or goes back and tries again after ever longer waits. Gateways share nothing: each
 * opens a stage a little later than its time, by chance, so that no engine gets the first requests of all at once.
 *
 * <p>Time is handed in, in clock seconds; not safe for use by several threads.
 */
final class MigrationProgress {

    /** Where a migration stands. */
    public enum State {
        /** Its stages open one after the other. */
        MOVING,
        /** It ended before its last stage was over, and the stage stays as it is. */
        STOPPED,
        /** Its last stage is over. */
        DONE
    }

    /** Fraction of a stage's time by which a gateway may open the next one later than another. */
    private static final double OPENING_SPREAD = 0.25;
    /** Steps back after which the migration stops for good. */
    private static final int MAX_STEPS_BACK = 3;

    private final MigrationPlan plan;
    private final Random random;
    private int stageNumber;
    private double openedAt;
    private double nextStageDueAt;
    private int stepsBack;
    private State state = State.MOVING;
    private String reason = "";
    private final AnswerStatistics oldGeneration = new AnswerStatistics();
    private final AnswerStatistics newGeneration = new AnswerStatistics();
    private int untranslatable;

    /**
     * Opens the first stage at clock time {@code now}.
     *
     * @param seed differs by gateway
     */
    public MigrationProgress(MigrationPlan plan, long seed, double now) {
        this.plan = plan;
        this.random = new Random(seed);
        open(0, now);
    }

    private void open(int number, double now) {
        stageNumber = number;
        openedAt = now;
        double holdSeconds = stage().holdSeconds() * (1L << stepsBack);
        nextStageDueAt = now + holdSeconds * (1 + OPENING_SPREAD * random.nextDouble());
        oldGeneration.clear();
        newGeneration.clear();
        untranslatable = 0;
    }

    /** The stage that is open. */
    public Stage stage() {
        return plan.stages().get(stageNumber);
    }

    /** The number of the stage that is open, from 0. */
    public int stageNumber() {
        return stageNumber;
    }

    /** When the stage opened, in clock seconds. */
    public double openedAt() {
        return openedAt;
    }

    /** Where the migration stands. */
    public State state() {
        return state;
    }

    /** Why it stopped or went back last; empty where it did not. */
    public String reason() {
        return reason;
    }

    /**
     * Records that an answer came, or failed to.
     *
     * @param byNewGeneration whether the engine is of the new generation
     * @param firstTokenSeconds time to first token, NaN where there was none
     */
    public void recordAnswer(boolean byNewGeneration, boolean failed, double firstTokenSeconds, double now) {
        (byNewGeneration ? newGeneration : oldGeneration).add(failed, firstTokenSeconds);
        advance(now);
    }

    /** Records that a request could not be expressed in the new generation's format. */
    public void recordUntranslatable(double now) {
        untranslatable++;
        advance(now);
    }

    /** Opens, closes or ends what is due at clock time {@code now}. */
    public void advance(double now) {
        if (state != State.MOVING) {
            return;
        }
        Optional<String> fault = fault();
        if (fault.isPresent()) {
            reason = fault.get();
            goBackOrStop(now);
        } else if (now >= nextStageDueAt
                && newGeneration.answers() >= plan.stop().minAnswers()) {
            openNextOrFinish(now);
        }
    }

    private void goBackOrStop(double now) {
        if (!plan.stop().stepsBack() || stepsBack >= MAX_STEPS_BACK) {
            state = State.STOPPED;
        } else {
            stepsBack++;
            open(Math.max(0, stageNumber - 1), now);
        }
    }

    private void openNextOrFinish(double now) {
        if (stageNumber + 1 < plan.stages().size()) {
            open(stageNumber + 1, now);
        } else {
            state = State.DONE;
        }
    }

    /** What speaks against the stage, empty where nothing does. */
    private Optional<String> fault() {
        Stop stop = plan.stop();
        int requests = newGeneration.answers() + untranslatable;
        if (requests >= stop.minAnswers() && (double) untranslatable / requests > stop.maxUntranslatable()) {
            return Optional.of("untranslatable " + untranslatable + " of " + requests);
        }
        if (newGeneration.answers() < stop.minAnswers()) {
            return Optional.empty();
        }
        if (newGeneration.failureFraction() > stop.maxFailureExcess() + oldGeneration.failureFraction()) {
            return Optional.of("failed " + newGeneration.failures() + " of " + newGeneration.answers());
        }
        return isSlow(stop) ? Optional.of(slowness()) : Optional.empty();
    }

    private boolean isSlow(Stop stop) {
        return oldGeneration.delays() >= stop.minAnswers()
                && newGeneration.delays() >= stop.minAnswers()
                && newGeneration.medianDelay() > stop.maxDelayRatio() * oldGeneration.medianDelay();
    }

    private String slowness() {
        return String.format(
                Locale.ROOT,
                "first token after %.3f s against %.3f s",
                newGeneration.medianDelay(),
                oldGeneration.medianDelay());
    }
}

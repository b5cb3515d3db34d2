package dunlinladder.migration;

import dunlinladder.migration.MigrationPlan.Stage;
import dunlinladder.migration.MigrationPlan.StopLimits;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

/**
 * The progress of a migration at one gateway. The next stage opens once the current one has run for its hold time, has
 * had enough answers and exceeds no limit of the plan. When a limit is exceeded, the migration stops, or goes back one
 * stage and tries again; each step back doubles the hold times. Gateways do not coordinate. Each one adds a random
 * delay before it opens a stage, so that no engine gets the first requests of all gateways at once.
 *
 * <p>Callers pass the current time in clock seconds. Not thread-safe.
 */
final class MigrationProgress {

    /** The state of a migration. */
    public enum State {
        /** The stages open one after another. */
        MOVING,
        /** An exceeded limit ended the migration; the stage that was open stays in force. */
        STOPPED,
        /** The last stage is over. */
        DONE
    }

    /** Longest random delay before a gateway opens the next stage, as a fraction of the current hold time. */
    private static final double MAX_OPENING_DELAY_FRACTION = 0.25;
    /** Number of steps back after which the next exceeded limit stops the migration. */
    private static final int MAX_STEPS_BACK = 3;

    private final MigrationPlan plan;
    private final Random random;
    private int stageNumber;
    private double openedAt;
    private double nextStageDueAt;
    private int stepBackCount;
    private State state = State.MOVING;
    private String reason = "";
    private final AnswerStatistics sourceAnswers = new AnswerStatistics();
    private final AnswerStatistics targetAnswers = new AnswerStatistics();
    private int untranslatable;

    /**
     * Opens the first stage at clock time {@code now}.
     *
     * @param seed seed of the random delays, different at each gateway
     */
    public MigrationProgress(MigrationPlan plan, long seed, double now) {
        this.plan = plan;
        this.random = new Random(seed);
        openStage(0, now);
    }

    private void openStage(int number, double now) {
        stageNumber = number;
        openedAt = now;
        double holdSeconds = stage().holdSeconds() * (1L << stepBackCount);
        nextStageDueAt = now + holdSeconds * (1 + MAX_OPENING_DELAY_FRACTION * random.nextDouble());
        sourceAnswers.clear();
        targetAnswers.clear();
        untranslatable = 0;
    }

    /** Returns the stage that is open. */
    public Stage stage() {
        return plan.stages().get(stageNumber);
    }

    /** Returns the number of the stage that is open, from 0. */
    public int stageNumber() {
        return stageNumber;
    }

    /** Returns when the stage opened, in clock seconds. */
    public double openedAt() {
        return openedAt;
    }

    /** Returns the state of the migration. */
    public State state() {
        return state;
    }

    /** Returns why the migration last stepped back or stopped; an empty text if it did neither. */
    public String reason() {
        return reason;
    }

    /**
     * Records an answer, or the failure to get one.
     *
     * @param byTarget whether the engine belongs to the target generation, rather than to the source generation
     * @param failed whether it counts as a failure
     * @param firstTokenSeconds time to first token, NaN if there was none
     */
    public void recordAnswer(boolean byTarget, boolean failed, double firstTokenSeconds, double now) {
        (byTarget ? targetAnswers : sourceAnswers).add(failed, firstTokenSeconds);
        advance(now);
    }

    /** Records that a request could not be expressed in the target generation's format. */
    public void recordUntranslatable(double now) {
        untranslatable++;
        advance(now);
    }

    /** Opens the next stage, steps back or ends the migration, if that is due at clock time {@code now}. */
    public void advance(double now) {
        if (state != State.MOVING) {
            return;
        }
        Optional<String> exceededLimit = exceededLimit();
        if (exceededLimit.isPresent()) {
            reason = exceededLimit.get();
            goBackOrStop(now);
        } else if (now >= nextStageDueAt
                && targetAnswers.answers() >= plan.stopLimits().minAnswers()) {
            openNextOrFinish(now);
        }
    }

    private void goBackOrStop(double now) {
        if (!plan.stopLimits().stepsBack() || stepBackCount >= MAX_STEPS_BACK) {
            state = State.STOPPED;
        } else {
            stepBackCount++;
            openStage(Math.max(0, stageNumber - 1), now);
        }
    }

    private void openNextOrFinish(double now) {
        if (stageNumber + 1 < plan.stages().size()) {
            openStage(stageNumber + 1, now);
        } else {
            state = State.DONE;
        }
    }

    /** Returns a description of the limit that the stage exceeds; empty if it exceeds none. */
    private Optional<String> exceededLimit() {
        StopLimits limits = plan.stopLimits();
        int requests = targetAnswers.answers() + untranslatable;
        if (requests >= limits.minAnswers() && (double) untranslatable / requests > limits.maxUntranslatable()) {
            return Optional.of("untranslatable " + untranslatable + " of " + requests);
        }
        if (targetAnswers.answers() < limits.minAnswers()) {
            return Optional.empty();
        }
        if (targetAnswers.failureFraction() > limits.maxFailureExcess() + sourceAnswers.failureFraction()) {
            return Optional.of("failed " + targetAnswers.failures() + " of " + targetAnswers.answers());
        }
        return isSlow(limits) ? Optional.of(describeSlowness()) : Optional.empty();
    }

    private boolean isSlow(StopLimits limits) {
        return sourceAnswers.firstTokenCount() >= limits.minAnswers()
                && targetAnswers.firstTokenCount() >= limits.minAnswers()
                && targetAnswers.medianFirstTokenTime() > limits.maxDelayRatio() * sourceAnswers.medianFirstTokenTime();
    }

    private String describeSlowness() {
        return String.format(
                Locale.ROOT,
                "first token after %.3f s against %.3f s",
                targetAnswers.medianFirstTokenTime(),
                sourceAnswers.medianFirstTokenTime());
    }
}

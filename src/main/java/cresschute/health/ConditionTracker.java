package cresschute.health;

import java.util.Optional;

/**
 * The condition in force of one worker. It follows the assessments with a delay: another condition
 * comes into force once it was assessed for a while without a break, so that a worker near a limit
 * does not change to and fro.
 *
 * <pre>
 *   change                                  comes into force
 *   first assessment                        at once
 *   to or from DRAINING or REMOVED          at once: it is stated, not observed
 *   to a better condition, or OVERLOADED    after {@link HealthThresholds#betterAfterUs}
 *   to a worse condition                    after {@link HealthThresholds#worseAfterUs}
 * </pre>
 *
 * <p>An overload comes and goes with the load, hence the longer delay. Used by one thread.
 */
final class ConditionTracker {

    private WorkerCondition condition;
    private String reason = "";
    private long sinceUs;

    /** A condition that was assessed but is not in force yet, or null. */
    private WorkerCondition candidate;

    private long candidateSinceUs;

    /** The condition in force; empty before the first assessment. */
    Optional<WorkerCondition> condition() {
        return Optional.ofNullable(condition);
    }

    /** Whether this condition is in force. */
    boolean is(WorkerCondition other) {
        return condition == other;
    }

    /** Why the condition is in force, for people; empty where there is nothing to explain. */
    String reason() {
        return reason;
    }

    /** When the condition came into force, microseconds. */
    long sinceUs() {
        return sinceUs;
    }

    /** Takes in an assessment. */
    void update(long nowUs, Assessment assessment, HealthThresholds thresholds) {
        final WorkerCondition assessed = assessment.condition();
        if (assessed == condition) {
            candidate = null;
            reason = assessment.reason();
            return;
        }
        if (candidate != assessed) {
            candidate = assessed;
            candidateSinceUs = nowUs;
        }
        if (nowUs - candidateSinceUs >= delayUs(assessed, thresholds)) {
            condition = assessed;
            reason = assessment.reason();
            sinceUs = nowUs;
            candidate = null;
        }
    }

    private long delayUs(WorkerCondition next, HealthThresholds thresholds) {
        if (condition == null || next.isAdministrative() || condition.isAdministrative()) {
            return 0;
        }
        return next == WorkerCondition.OVERLOADED || next.isBetterThan(condition)
                ? thresholds.betterAfterUs()
                : thresholds.worseAfterUs();
    }
}

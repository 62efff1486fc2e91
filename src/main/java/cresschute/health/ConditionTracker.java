package cresschute.health;

import java.util.Optional;

/**
 * The effective condition of one worker. It follows the assessments with a delay: a new condition
 * takes effect once it has been assessed without interruption for that delay, so that a worker near
 * a threshold does not flap between conditions.
 *
 * <pre>
 *   change                                  takes effect
 *   first assessment                        at once
 *   to or from DRAINING or REMOVED          at once: it is stated, not observed
 *   to a better condition, or OVERLOADED    after {@link HealthThresholds#betterDelayUs}
 *   to a worse condition                    after {@link HealthThresholds#worseDelayUs}
 * </pre>
 *
 * <p>OVERLOADED has the longer delay because overload fluctuates with the load. Not thread-safe.
 */
final class ConditionTracker {

    private WorkerCondition condition;
    private String reason = "";
    private long sinceUs;

    /** The assessed condition that has not taken effect yet, or null. */
    private WorkerCondition candidate;

    private long candidateSinceUs;

    /** Returns the condition in force; empty before the first assessment. */
    Optional<WorkerCondition> condition() {
        return Optional.ofNullable(condition);
    }

    /** Returns whether this condition is in force. */
    boolean is(WorkerCondition other) {
        return condition == other;
    }

    /** Returns the reason of the condition, shown to operators; empty for a healthy worker. */
    String reason() {
        return reason;
    }

    /** Returns when the condition took effect, microseconds. */
    long sinceUs() {
        return sinceUs;
    }

    /** Updates the condition with a new assessment. */
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
                ? thresholds.betterDelayUs()
                : thresholds.worseDelayUs();
    }
}

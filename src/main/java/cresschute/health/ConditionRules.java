package cresschute.health;

import java.util.Optional;

/**
 * Assesses the condition of a worker from the observations of it. Each rule is a method that
 * returns an assessment if the rule holds. The first rule that holds decides:
 *
 * <ol>
 *   <li>REMOVED: the endpoint list does not contain the worker.
 *   <li>DRAINING: an operator or the endpoint list drains it.
 *   <li>UNRESPONSIVE: connections fail, or the worker sends nothing about its jobs.
 *   <li>WARMING_UP: its process started a short while ago.
 *   <li>SLOW: most of its running jobs are delayed, or its jobs run longer than on other workers.
 *   <li>OVERLOADED: it reports a queue and no free slot, or it rejected a job.
 *   <li>HEALTHY: none of these.
 * </ol>
 *
 * <p>A rule precedes the rules that are meaningless while it holds; the remaining order is from the
 * most to the least severe. Stateless; {@link ConditionTracker} decides when an assessment takes
 * effect. Reasons are shown to operators and are part of console rows.
 */
final class ConditionRules {

    private static final long US_PER_S = 1_000_000;

    /**
     * How long a worker without jobs stays unresponsive, and how long failed connections count, in
     * microseconds.
     */
    private static final long UNRESPONSIVE_HOLD_US = 30 * US_PER_S;

    /**
     * Minimum inactivity after which a worker with only queued jobs is unresponsive, in
     * microseconds.
     */
    private static final long MIN_QUEUED_INACTIVITY_US = 10 * US_PER_S;

    /**
     * Minimum number of delayed jobs for a slow worker. A single one may just be a heavy job, which
     * says nothing about the worker.
     */
    private static final int MIN_DELAYED_JOBS = 2;

    private final HealthThresholds thresholds;

    /** Creates rules with these thresholds. */
    ConditionRules(HealthThresholds thresholds) {
        this.thresholds = thresholds;
    }

    /** Returns the assessment of the first rule that holds. */
    Assessment assess(long nowUs, WorkerHealth worker) {
        return removed(worker)
                .or(() -> draining(worker))
                .or(() -> unresponsive(nowUs, worker))
                .or(() -> warmingUp(nowUs, worker))
                .or(() -> slow(nowUs, worker))
                .or(() -> overloaded(nowUs, worker))
                .orElseGet(() -> new Assessment(WorkerCondition.HEALTHY, ""));
    }

    private static Optional<Assessment> assessment(WorkerCondition condition, String reason) {
        return Optional.of(new Assessment(condition, reason));
    }

    private static Optional<Assessment> removed(WorkerHealth worker) {
        return worker.isRemoved()
                ? assessment(
                        WorkerCondition.REMOVED,
                        "not on the list" + (worker.isIdle() ? "" : "; " + inFlightText(worker)))
                : Optional.empty();
    }

    private static Optional<Assessment> draining(WorkerHealth worker) {
        return worker.isDraining()
                ? assessment(
                        WorkerCondition.DRAINING,
                        (worker.isDrainedByOperator() ? "by an operator" : "by the list")
                                + "; "
                                + (worker.isIdle() ? "nothing is out there" : inFlightText(worker)))
                : Optional.empty();
    }

    private static String inFlightText(WorkerHealth worker) {
        return worker.attempts().size() + " still out";
    }

    private Optional<Assessment> unresponsive(long nowUs, WorkerHealth worker) {
        if (worker.connectFailures() >= thresholds.maxConnectFailures()
                && nowUs - worker.lastConnectFailureUs() < UNRESPONSIVE_HOLD_US) {
            return assessment(
                    WorkerCondition.UNRESPONSIVE,
                    worker.connectFailures() + " connections in a row failed");
        }
        return worker.isIdle() ? heldUnresponsive(nowUs, worker) : inactive(nowUs, worker);
    }

    /**
     * A worker without jobs has no way to show activity, so it stays unresponsive for {@link
     * #UNRESPONSIVE_HOLD_US}.
     */
    private static Optional<Assessment> heldUnresponsive(long nowUs, WorkerHealth worker) {
        final ConditionTracker before = worker.condition();
        return before.is(WorkerCondition.UNRESPONSIVE)
                        && worker.lastActivityUs() <= before.sinceUs()
                        && nowUs - before.sinceUs() < UNRESPONSIVE_HOLD_US
                ? assessment(WorkerCondition.UNRESPONSIVE, before.reason())
                : Optional.empty();
    }

    /**
     * Queued jobs cause no activity, because jobs of other dispatchers may be ahead of them. A
     * worker without started jobs therefore has a longer limit.
     */
    private Optional<Assessment> inactive(long nowUs, WorkerHealth worker) {
        final boolean reportsProgress =
                thresholds.progressIntervalUs() > 0
                        && worker.attempts().stream().anyMatch(TrackedAttempt::isStarted);
        final long maxInactivityUs =
                reportsProgress
                        ? thresholds.unresponsiveAfterUs()
                        : Math.max(thresholds.unresponsiveAfterUs(), MIN_QUEUED_INACTIVITY_US);
        final long oldestUs =
                worker.attempts().stream().mapToLong(TrackedAttempt::sentUs).min().orElse(nowUs);
        final long inactivityUs = nowUs - Math.max(worker.lastActivityUs(), oldestUs);
        return inactivityUs >= maxInactivityUs
                ? assessment(
                        WorkerCondition.UNRESPONSIVE,
                        "nothing heard of its " + worker.attempts().size() + " jobs")
                : Optional.empty();
    }

    private Optional<Assessment> warmingUp(long nowUs, WorkerHealth worker) {
        return worker.isStartedWithin(nowUs, thresholds.warmUpUs())
                ? assessment(WorkerCondition.WARMING_UP, "started a short while ago")
                : Optional.empty();
    }

    private Optional<Assessment> slow(long nowUs, WorkerHealth worker) {
        return mostJobsDelayed(nowUs, worker).or(() -> slowerThanOtherWorkers(worker));
    }

    private static Optional<Assessment> mostJobsDelayed(long nowUs, WorkerHealth worker) {
        int comparable = 0;
        int delayed = 0;
        for (final TrackedAttempt attempt : worker.attempts()) {
            if (attempt.isComparable()) {
                comparable++;
                delayed += attempt.isDelayed(nowUs) ? 1 : 0;
            }
        }
        return delayed >= MIN_DELAYED_JOBS && 2 * delayed > comparable
                ? assessment(
                        WorkerCondition.SLOW,
                        delayed + " of " + comparable + " running jobs are held up")
                : Optional.empty();
    }

    private Optional<Assessment> slowerThanOtherWorkers(WorkerHealth worker) {
        final double limit =
                worker.condition().is(WorkerCondition.SLOW)
                        ? thresholds.slowExitFactor()
                        : thresholds.slowEnterFactor();
        return worker.slowness().isAtLeast(limit)
                ? assessment(
                        WorkerCondition.SLOW,
                        "jobs run "
                                + Math.round(worker.slowness().factor() * 10) / 10.0
                                + " times as long as elsewhere")
                : Optional.empty();
    }

    private Optional<Assessment> overloaded(long nowUs, WorkerHealth worker) {
        final ReportedLoad load = worker.load();
        if (load.isFresh(nowUs, thresholds.reportMaxAgeUs()) && load.isFull()) {
            return assessment(
                    WorkerCondition.OVERLOADED,
                    "no free slot and " + (int) load.queued() + " waiting");
        }
        return nowUs - worker.lastRejectionUs() < thresholds.reportMaxAgeUs()
                ? assessment(WorkerCondition.OVERLOADED, "it turned jobs away")
                : Optional.empty();
    }
}

package cresschute.dispatch;

import java.util.Collection;
import java.util.SplittableRandom;

/**
 * Slow start: decides whether a worker that is warming up may get a job.
 *
 * <p>Inputs: the worker's age in us, {@link SlowStartSettings}, the number of dispatchers, and the
 * expected work of the job and of a mean job in slot-us.
 *
 * <p>Rule: a worker of age a has the capacity fraction {@code f = f0 + (1 - f0) * a / d} until the
 * warm-up duration d, then 1. In each window of {@code overloadAfterUs} this dispatcher may send it
 * its share of
 *
 * <pre>
 * share = {@value #SAFETY} * overload factor * f * slots / slowness * window / dispatchers
 * </pre>
 *
 * <p>slot-us of work. Tokens of the worker account for this share, and tokens of the dispatcher for
 * the sum of its shares over all warming workers. A job is allowed if the dispatcher's tokens are
 * not below 0; if the worker's tokens cover its work, less an allowance for the other dispatchers
 * of {@code (1 - 1 / dispatchers) * (work + mean work)}; and if the job is small compared with what
 * all dispatchers together may send, or with what the worker tolerates, in a window.
 *
 * <p>Reason: dispatchers do not see one another's sends, and a worker that gets more work than it
 * can take while it warms up fails.
 *
 * <p>Guarantees: it never withholds jobs from a warm worker, and dispatchers that start together do
 * not send their first jobs together.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class SlowStart {

    /** Fraction of the configured limit that is used, because work and capacity are estimates. */
    private static final double SAFETY = 0.4;

    /**
     * Largest job, as a fraction of the work that all dispatchers together may send in a window.
     */
    private static final double MAX_JOB_FRACTION = 0.5;

    /** Largest job, as a fraction of the work that the worker tolerates in a window. */
    private static final double MAX_JOB_TOLERATED_FRACTION = 0.18;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;
    private final SplittableRandom random;
    private double tokens;
    private long refilledAtUs;

    SlowStart(
            CurrentSettings settings, ServiceTimeEstimator serviceTimes, SplittableRandom random) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.random = random;
    }

    /** Starts refilling the dispatcher's tokens. */
    void started(long nowUs) {
        refilledAtUs = nowUs;
    }

    /**
     * Starts the warm-up of a new worker. The dispatcher's tokens begin at a random negative value
     * of up to one mean job, so that dispatchers do not send their first jobs together.
     */
    void workerAdded(WorkerInstance worker, long nowUs) {
        worker.startWarmUp(nowUs);
        if (tokens >= 0) {
            tokens =
                    -random.nextDouble()
                            * serviceTimes.meanRunningTimeUs()
                            * serviceTimes.meanSlots();
        }
    }

    /**
     * Returns the lowest capacity fraction that a worker may have now, in (0, 1]; 1 if it is warm.
     */
    double capacityFraction(WorkerInstance worker, long nowUs) {
        final SlowStartSettings slowStartSettings = settings.get().slowStart();
        final long startedAtUs = worker.endpoint().startedAtUs();
        final long ageUs = Math.max(0, nowUs - startedAtUs);
        final boolean isWarmingUp =
                startedAtUs > Worker.STARTED_LONG_AGO
                        && ageUs < slowStartSettings.warmUpDurationUs();
        return isWarmingUp
                ? slowStartSettings.initialCapacityFraction()
                        + (1 - slowStartSettings.initialCapacityFraction())
                                * ageUs
                                / slowStartSettings.warmUpDurationUs()
                : 1;
    }

    boolean isWarmingUp(WorkerInstance worker, long nowUs) {
        return capacityFraction(worker, nowUs) < 1;
    }

    /** Returns the work that this dispatcher may send to a worker in each window, slot-us. */
    private double workPerWindow(WorkerInstance worker, long nowUs) {
        final SlowStartSettings slowStartSettings = settings.get().slowStart();
        return SAFETY
                * slowStartSettings.overloadFactor()
                * capacityFraction(worker, nowUs)
                * worker.kind().slots()
                / worker.kind().runSlowness()
                * slowStartSettings.overloadAfterUs()
                / settings.get().dispatchers();
    }

    /** Refills the dispatcher's tokens for the time since the last refill. */
    void refill(Collection<WorkerInstance> workers, long nowUs) {
        final double elapsedUs = Math.max(1, nowUs - refilledAtUs);
        refilledAtUs = nowUs;
        final double perWindow =
                workers.stream()
                        .filter(WorkerInstance::isDispatchable)
                        .mapToDouble(
                                worker ->
                                        isWarmingUp(worker, nowUs)
                                                ? workPerWindow(worker, nowUs)
                                                : 0)
                        .sum();
        final double windows =
                elapsedUs / Math.max(1, settings.get().slowStart().overloadAfterUs());
        tokens = Math.min(perWindow, tokens + windows * perWindow);
    }

    /**
     * Returns whether a request's next attempt may be sent to a worker. Refills the worker's
     * tokens.
     */
    boolean allows(WorkerInstance worker, PendingRequest request, long nowUs) {
        final int dispatchers = settings.get().dispatchers();
        final SlowStartSettings slowStartSettings = settings.get().slowStart();
        final double work = request.conservativeWork();
        final double windowShare = workPerWindow(worker, nowUs);
        final double workerTokens =
                worker.refillWarmUpTokens(nowUs, windowShare, slowStartSettings.overloadAfterUs());
        if (!isWarmingUp(worker, nowUs)) {
            return true;
        }
        // The more dispatchers divide the limit, the smaller each share is compared with a job, so
        // each dispatcher may be one job ahead of its share.
        final double othersFraction = 1 - 1.0 / dispatchers;
        final double meanWork = serviceTimes.meanRunningTimeUs() * serviceTimes.meanSlots();
        final double totalPerWindow = windowShare * dispatchers;
        final double tolerated =
                meanWork * slowStartSettings.toleratedJobs(totalPerWindow / SAFETY / meanWork);
        return tokens >= 0
                && workerTokens >= work - othersFraction * (work + meanWork)
                && work
                        <= Math.max(
                                MAX_JOB_FRACTION * totalPerWindow,
                                MAX_JOB_TOLERATED_FRACTION * tolerated);
    }

    /** Takes the tokens of an attempt that is sent. */
    void attemptSent(WorkerInstance worker, PendingRequest request, long nowUs) {
        worker.takeWarmUpTokens(request.work());
        if (isWarmingUp(worker, nowUs)) {
            tokens -= request.work();
        }
    }
}

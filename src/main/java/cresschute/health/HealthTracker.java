package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Tracks the health of workers and request classes. From listings, attempts, load reports and
 * requests it derives each worker's {@link WorkerCondition} with its reason, rates and latencies.
 * It only describes health and makes no dispatching decisions.
 *
 * <p>Life cycle: created with the request classes. {@link #workerListed} and {@link #attemptSent}
 * add workers; {@link #evaluate} drops a worker ten minutes after it was removed from the endpoint
 * list, once it has no attempt in flight.
 *
 * <p>Not thread-safe: all calls are made on the node's event loop. The clock is passed in; times
 * are microseconds of a monotonic clock. Memory is bounded by the number of workers that are listed
 * or were listed in the last ten minutes, about 16 kB each.
 */
public final class HealthTracker {

    /** How long a removed worker is kept before it is dropped, microseconds. */
    static final long REMOVED_KEPT_US = 600_000_000L;

    private final HealthThresholds thresholds;
    private final ConditionRules rules;
    private final List<ClassHealth> classes = new ArrayList<>();
    private final Map<Integer, WorkerHealth> workers = new LinkedHashMap<>();

    /** Scratch histogram, reused for every computation of percentiles. */
    private final IntCountsHistogram scratch = new IntCountsHistogram(1);

    /**
     * Creates a tracker without workers.
     *
     * @param objectives the objective of each request class, in the order of the class numbers
     */
    public HealthTracker(HealthThresholds thresholds, List<LatencyObjective> objectives) {
        this.thresholds = thresholds;
        this.rules = new ConditionRules(thresholds);
        objectives.forEach(objective -> classes.add(new ClassHealth(classes.size(), objective)));
    }

    // ---- Events ----

    /**
     * Updates what the endpoint list and the operators state about a worker; repeating it has no
     * effect.
     */
    public void workerListed(long nowUs, int worker, WorkerListing listing) {
        final WorkerHealth known = workers.get(worker);
        if (known != null) {
            known.listed(listing);
        } else if (listing.state() != WorkerState.GONE) {
            workers.put(worker, new WorkerHealth(classes.size(), listing, nowUs));
        }
    }

    /**
     * Tracks an attempt that was sent to a worker; adds the worker if it is unknown.
     *
     * @return the tracked attempt, which the caller notifies of progress and of its end
     */
    public TrackedAttempt attemptSent(long nowUs, int worker, int requestClass) {
        final WorkerHealth target =
                workers.computeIfAbsent(
                        worker,
                        unlisted -> new WorkerHealth(classes.size(), WorkerListing.UNLISTED, 0));
        final ClassHealth ofClass = classes.get(requestClass);
        final TrackedAttempt attempt = new TrackedAttempt(target, ofClass, nowUs);
        target.attemptStarted(nowUs, attempt);
        ofClass.attemptStarted();
        return attempt;
    }

    /** Records a worker's answer to a load query; ignored for an unknown worker. */
    public void loadReported(long nowUs, int worker, LoadReport report) {
        final WorkerHealth known = workers.get(worker);
        if (known != null) {
            known.loadReported(nowUs, report);
        }
    }

    /** Counts an arrived request. */
    public void requestArrived(long nowUs, int requestClass) {
        classes.get(requestClass).requestArrived(nowUs);
    }

    /**
     * Records that a request was answered or that its client left. Called for every request, so the
     * parameters are not wrapped in an object.
     *
     * @param attempts number of attempts sent for the request
     * @param latencyUs time since the request arrived, microseconds
     * @param runTimeUs running time of the job that served it, microseconds; ignored for other
     *     results
     */
    public void requestEnded(
            long nowUs,
            int requestClass,
            RequestResult result,
            int attempts,
            long latencyUs,
            long runTimeUs) {
        classes.get(requestClass).requestEnded(nowUs, result, attempts, latencyUs, runTimeUs);
    }

    // ---- Conditions ----

    /**
     * Reassesses all workers and drops removed ones after {@link #REMOVED_KEPT_US}. Call a few
     * times a second.
     *
     * @return the changes of conditions since the last call
     */
    public List<ConditionChange> evaluate(long nowUs) {
        classes.forEach(each -> each.updateMedian(nowUs, scratch));
        final List<ConditionChange> changes = new ArrayList<>();
        workers.forEach((id, worker) -> evaluate(nowUs, id, worker).ifPresent(changes::add));
        workers.values().removeIf(worker -> isExpired(nowUs, worker));
        return changes;
    }

    private Optional<ConditionChange> evaluate(long nowUs, int id, WorkerHealth worker) {
        final Optional<WorkerCondition> before = worker.condition().condition();
        worker.evaluate(nowUs, rules, thresholds);
        return worker.condition()
                .condition()
                .filter(after -> before.isEmpty() || before.get() != after)
                .map(after -> new ConditionChange(id, before, after, worker.condition().reason()));
    }

    private static boolean isExpired(long nowUs, WorkerHealth worker) {
        return worker.condition().is(WorkerCondition.REMOVED)
                && worker.isIdle()
                && nowUs - worker.condition().sinceUs() >= REMOVED_KEPT_US;
    }

    // ---- Queries ----

    /** Returns the numbers of the known workers, in the order in which they were added. */
    public List<Integer> workers() {
        return List.copyOf(workers.keySet());
    }

    /** Returns the number of attempts in flight at a worker; 0 if the worker is unknown. */
    public int inFlight(int worker) {
        final WorkerHealth known = workers.get(worker);
        return known == null ? 0 : known.attempts().size();
    }

    /** Returns the health of a worker; empty if the worker is unknown. */
    public Optional<WorkerHealthSnapshot> worker(long nowUs, int worker) {
        return Optional.ofNullable(workers.get(worker))
                .map(known -> known.snapshot(nowUs, scratch));
    }

    /** Returns the health of a request class. */
    public ClassHealthSnapshot requestClass(long nowUs, int requestClass) {
        return classes.get(requestClass).snapshot(nowUs, scratch);
    }

    /**
     * Returns the fraction of the requests answered in the last minute that met their latency
     * objective, weighted by the priority weight of their classes; empty if none was answered.
     */
    public OptionalDouble weightedServedFraction(long nowUs) {
        double withinObjective = 0;
        double answered = 0;
        for (final ClassHealth each : classes) {
            withinObjective += each.weightWithinObjective(nowUs);
            answered += each.weightAnswered(nowUs);
        }
        return answered <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(withinObjective / answered);
    }
}

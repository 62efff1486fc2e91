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
 * Observes the health of workers and request classes: it is notified of listings, attempts, load
 * reports and requests, and derives each worker's {@link WorkerCondition} with its reason, rates
 * and latencies. It only describes; dispatching decisions are made elsewhere.
 *
 * <p>Life cycle: created with the request classes; workers are added by {@link #workerListed} or
 * {@link #attemptSent} and dropped by {@link #evaluate} some time after they were removed from the
 * endpoint list.
 *
 * <p>Not thread-safe: one thread, the node's event loop, makes all calls. The clock is passed in:
 * times are microseconds of a clock that never goes backwards. Memory is bounded by the workers
 * that are listed or were within the last ten minutes, about 16 kB each.
 */
public final class HealthTracker {

    /** How long a removed worker is kept, microseconds. */
    static final long REMOVED_KEPT_US = 600_000_000L;

    private final HealthThresholds thresholds;
    private final ConditionRules rules;
    private final List<ClassHealth> classes = new ArrayList<>();
    private final Map<Integer, WorkerHealth> workers = new LinkedHashMap<>();

    /** Reused for every percentile. */
    private final IntCountsHistogram scratch = new IntCountsHistogram(1);

    /**
     * Creates a tracker that knows no worker.
     *
     * @param objectives one for each request class, in the order of their numbers
     */
    public HealthTracker(HealthThresholds thresholds, List<LatencyObjective> objectives) {
        this.thresholds = thresholds;
        this.rules = new ConditionRules(thresholds);
        objectives.forEach(objective -> classes.add(new ClassHealth(classes.size(), objective)));
    }

    // ---- Events ----

    /** The endpoint list or an operator states something about a worker, perhaps again. */
    public void workerListed(long nowUs, int worker, WorkerListing listing) {
        final WorkerHealth known = workers.get(worker);
        if (known != null) {
            known.listed(listing);
        } else if (listing.state() != WorkerState.GONE) {
            workers.put(worker, new WorkerHealth(classes.size(), listing, nowUs));
        }
    }

    /**
     * An attempt was sent to a worker.
     *
     * @return the attempt, to be notified of its progress and its end
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

    /** A worker answered a load query; one that is not known is ignored. */
    public void loadReported(long nowUs, int worker, LoadReport report) {
        final WorkerHealth known = workers.get(worker);
        if (known != null) {
            known.loadReported(nowUs, report);
        }
    }

    /** A request arrived. */
    public void requestArrived(long nowUs, int requestClass) {
        classes.get(requestClass).requestArrived(nowUs);
    }

    /**
     * A request was answered, or its client left. Called for every request, hence without an object
     * for the parameters.
     *
     * @param attempts attempts that were sent for it
     * @param latencyUs time since it arrived, microseconds
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
     * Assesses all workers anew and drops those removed long ago; to be called a few times a
     * second.
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

    /** Numbers of the known workers, in the order they became known. */
    public List<Integer> workers() {
        return List.copyOf(workers.keySet());
    }

    /** Attempts in flight at a worker; 0 where it is not known. */
    public int inFlight(int worker) {
        final WorkerHealth known = workers.get(worker);
        return known == null ? 0 : known.attempts().size();
    }

    /** The health of a worker; empty where it is not known. */
    public Optional<WorkerHealthSnapshot> worker(long nowUs, int worker) {
        return Optional.ofNullable(workers.get(worker))
                .map(known -> known.snapshot(nowUs, scratch));
    }

    /** The health of a request class. */
    public ClassHealthSnapshot requestClass(long nowUs, int requestClass) {
        return classes.get(requestClass).snapshot(nowUs, scratch);
    }

    /**
     * Of the requests answered in the last minute, the fraction that met their latency objective,
     * weighted by the priority of their classes; empty where none was answered.
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

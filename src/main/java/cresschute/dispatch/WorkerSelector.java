package cresschute.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Selects the worker of an attempt by the power of two choices, compared by expected latency.
 *
 * <p>Inputs: the workers that the request may be sent to, with their slowdown, slots in use, slots,
 * capacity fraction and ejections; the running time of the job in us; the prices of a zone crossing
 * and of a data transfer as fractions of one request's value.
 *
 * <p>Rule: at most {@value #MAX_DRAWS} workers are sampled, every second one from the dispatcher's
 * own zone, until enough of them have capacity. For a job that needs data, the workers are taken in
 * the order of the hash ring instead, starting at its data key. With e = slots in use + slots of
 * the job - slots of the worker,
 *
 * <pre>
 * expected latency = slowdown / capacity fraction
 *                    * (running time + mean running time * (e + sqrt(e^2 + 1)) / 2 / slots)
 * cost             = expected latency * (1 + {@value #PRICE_WEIGHT} * price)
 * </pre>
 *
 * <p>The worker with the lowest cost comes first. If all sampled workers are ejected, ejection is
 * ignored (panic threshold).
 *
 * <p>Reason: two choices keep queues short, while a single best worker would attract all
 * dispatchers at once (herding). The expected wait rises smoothly as a worker fills, because a
 * dispatcher does not see the sends of others. Equal rings give all dispatchers the same worker for
 * a data key, which then holds the data.
 *
 * <p>Guarantees: it never selects a worker outside the placement of the class or outside the group
 * that drops duplicates, nor the worker of the last attempt, nor one that {@link SlowStart} does
 * not allow.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class WorkerSelector {

    /** Relative increase of the expected latency per unit of price. */
    private static final double PRICE_WEIGHT = 20;

    /** Number of workers with capacity that ends the sampling. */
    private static final int CHOICES = 2;

    /** Maximum number of samples. */
    private static final int MAX_DRAWS = 8;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;
    private final WorkerLoadEstimator loads;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final SplittableRandom random;

    WorkerSelector(
            CurrentSettings settings,
            ServiceTimeEstimator serviceTimes,
            WorkerLoadEstimator loads,
            SlowStart slowStart,
            OutlierDetector outliers,
            SplittableRandom random) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.loads = loads;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.random = random;
    }

    /** Samples workers for a request's next attempt until two of them have capacity. */
    List<WorkerInstance> select(PendingRequest request, long nowUs) {
        return select(request, CHOICES, nowUs);
    }

    /**
     * Samples workers for a request's next attempt. Every sample takes one random number, whether
     * the job needs data or not.
     *
     * @param choices number of workers with capacity that ends the sampling
     * @return the sampled workers by ascending cost; empty if no worker may get the attempt
     */
    List<WorkerInstance> select(PendingRequest request, int choices, long nowUs) {
        final WorkerGroup candidates = request.candidates();
        final WorkerGroup preferred = request.preferredCandidates();
        final List<WorkerInstance> eligible = new ArrayList<>(MAX_DRAWS);
        final List<WorkerInstance> ejected = new ArrayList<>(MAX_DRAWS);
        int withCapacity = 0;
        long point = WorkerGroup.pointOf(request.dataKey());
        request.setDataWorker(null);
        for (int draw = 0;
                draw < MAX_DRAWS && withCapacity < choices && !candidates.isEmpty();
                draw++) {
            final WorkerGroup group =
                    draw % 2 == 0 && !preferred.isEmpty() ? preferred : candidates;
            WorkerInstance worker = group.member(random.nextInt(group.size()));
            if (request.dataKey() != Job.NO_DATA) {
                final Map.Entry<Long, WorkerInstance> next = candidates.successor(point);
                point = next.getKey() + 1;
                worker = next.getValue();
                if (request.dataWorker() == null) {
                    request.setDataWorker(worker);
                }
            }
            if (worker == request.lastWorker()
                    || eligible.contains(worker)
                    || !slowStart.allows(worker, request, nowUs)) {
                continue;
            }
            withCapacity += hasCapacity(worker, request, nowUs) ? 1 : 0;
            (outliers.isEjected(worker, request.classIndex(), nowUs) ? ejected : eligible)
                    .add(worker);
        }
        final List<WorkerInstance> drawn = eligible.isEmpty() ? ejected : eligible;
        drawn.sort(Comparator.comparingDouble(worker -> cost(worker, request, nowUs)));
        return drawn;
    }

    /** Returns whether a worker is not ejected and the job would start there at once. */
    boolean hasCapacity(WorkerInstance worker, PendingRequest request, long nowUs) {
        return !outliers.isEjected(worker, request.classIndex(), nowUs)
                && loads.hasFreeSlots(worker, request.slots(), nowUs);
    }

    /** Returns the expected latency in us, increased by the prices of this worker. */
    double cost(WorkerInstance worker, PendingRequest request, long nowUs) {
        final DispatchSettings current = settings.get();
        final double zonePrice =
                worker.endpoint().zone() == current.zone() ? 0 : current.crossZonePrice();
        final double dataPrice =
                request.dataWorker() == null || worker == request.dataWorker()
                        ? 0
                        : current.dataTransferPrice();
        return expectedLatencyUs(worker, request, nowUs)
                * (1 + PRICE_WEIGHT * (zonePrice + dataPrice));
    }

    private double expectedLatencyUs(WorkerInstance worker, PendingRequest request, long nowUs) {
        final double slowdown = worker.slowdown() / slowStart.capacityFraction(worker, nowUs);
        final double slots = worker.kind().slots();
        final double excess = loads.slotsInUse(worker, nowUs) + request.slots() - slots;
        final double expectedQueue = (excess + Math.sqrt(excess * excess + 1)) / 2;
        return slowdown
                * (request.runningTimeUs()
                        + serviceTimes.meanRunningTimeUs() * expectedQueue / slots);
    }
}

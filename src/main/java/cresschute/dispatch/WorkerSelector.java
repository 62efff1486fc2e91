package cresschute.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Selects the worker of an attempt: power of two choices by expected latency.
 *
 * <p>Inputs: the workers open to the request, their pace, slots in use, slots, capacity fraction
 * and ejections; the running time of the job in us; prices of a zone crossing and of a data
 * transfer in parts of one request's value.
 *
 * <p>Rule: at most {@value #MAX_DRAWS} workers are drawn, every second one from the dispatcher's
 * own zone, until enough of them have capacity; a job that needs data draws in the order of its
 * key's hash ring instead. With e = slots in use + slots of the job - slots of the worker,
 *
 * <pre>
 * expected latency = pace / capacity fraction
 *                    * (running time + mean running time * (e + sqrt(e^2 + 1)) / 2 / slots)
 * cost             = expected latency * (1 + {@value #PRICE_WEIGHT} * price)
 * </pre>
 *
 * <p>The least cost comes first. Where all workers drawn are ejected, they count as if none were
 * (panic threshold).
 *
 * <p>Reason: two choices keep queues short without the herding of one best worker; other
 * dispatchers' sends are not seen, so a wait grows likely smoothly as a worker fills; equal rings
 * give dispatchers the same worker for a key, where its data is.
 *
 * <p>Never: it does not leave the placement of the class or the group that drops duplicates, and
 * does not return the worker of the last attempt or one that {@link SlowStart} holds back.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class WorkerSelector {

    /** Increase of the expected latency for each unit of price. */
    private static final double PRICE_WEIGHT = 20;

    /** Workers with capacity that end a search. */
    private static final int CHOICES = 2;

    /** Draws in search of workers with capacity. */
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

    /** Draws workers for a request's next attempt: the search ends with two that have capacity. */
    List<WorkerInstance> select(PendingRequest request, long nowUs) {
        return select(request, CHOICES, nowUs);
    }

    /**
     * Draws workers for a request's next attempt. Every draw takes one random number, whether the
     * job needs data or not.
     *
     * @param choices how many with capacity end the search
     * @return the workers drawn, least cost first; empty where none may be sent to
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

    /** Whether a job would start at once at a worker that is not ejected. */
    boolean hasCapacity(WorkerInstance worker, PendingRequest request, long nowUs) {
        return !outliers.isEjected(worker, request.classIndex(), nowUs)
                && loads.hasFreeSlots(worker, request.slots(), nowUs);
    }

    /** Expected latency in us, increased by the prices of this worker. */
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

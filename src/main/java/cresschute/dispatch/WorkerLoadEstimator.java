package cresschute.dispatch;

/**
 * Estimates how many slots of a worker are in use or queued for, by this dispatcher and the others.
 *
 * <p>Inputs: this dispatcher's attempts in flight in slots; load reports and live weights of the
 * endpoint list; and the age of the last of them in us.
 *
 * <p>Rule: {@code own + usual + exp(-age / mean running time) * (reported - usual)}, where {@code
 * reported} are the other dispatchers' slots of the last report, and {@code usual} is their mean
 * over the worker's kind.
 *
 * <p>Reason: the own slots are exact; a report is out of date after about one running time, and
 * then the mean of the kind is the best estimate.
 *
 * <p>Guarantees: a report without a load is never treated as a report of an idle worker.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class WorkerLoadEstimator {

    /**
     * Slots by which a job may exceed a worker's slots and still count as fitting, because
     * estimates are not whole numbers.
     */
    private static final double SLOT_TOLERANCE = 0.5;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;

    WorkerLoadEstimator(CurrentSettings settings, ServiceTimeEstimator serviceTimes) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
    }

    /** Records a load report; {@link LoadReport#NONE} changes nothing. */
    void loadReported(WorkerInstance worker, LoadReport report, long nowUs) {
        final double slots = worker.kind().slotsInUse(report, serviceTimes.meanSlots());
        if (slots >= 0) {
            worker.slotsReported(slots, nowUs);
        }
    }

    /** Records a weight of the endpoint list, if it is {@link WeightSource#LIVE}. */
    void weightListed(WorkerInstance worker, double weight, long nowUs) {
        if (settings.get().weightSource() == WeightSource.LIVE && weight > 0) {
            worker.slotsReported(
                    worker.kind().requestsAt(weight) * serviceTimes.meanSlots(), nowUs);
        }
    }

    /** Records that a worker rejected an attempt as full: other dispatchers use all its slots. */
    void rejectedAsFull(WorkerInstance worker, long nowUs) {
        worker.slotsReported(worker.ownSlots() + worker.kind().slots(), nowUs);
    }

    /** Returns the estimated slots in use or queued for now. */
    double slotsInUse(WorkerInstance worker, long nowUs) {
        final double trust =
                Math.exp((worker.otherSlotsAtUs() - nowUs) / serviceTimes.meanRunningTimeUs());
        return worker.ownSlots()
                + worker.kind().usualOtherSlots()
                + trust * (worker.otherSlots() - worker.kind().usualOtherSlots());
    }

    /** Returns whether a job of this many slots would start at once. */
    boolean hasFreeSlots(WorkerInstance worker, double slots, long nowUs) {
        return slotsInUse(worker, nowUs) + slots <= worker.kind().slots() + SLOT_TOLERANCE;
    }

    /** Returns whether the worker has a free slot, according to the estimate. */
    boolean hasFreeSlot(WorkerInstance worker, long nowUs) {
        return slotsInUse(worker, nowUs) < worker.kind().slots();
    }
}

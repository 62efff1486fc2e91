package cresschute.dispatch;

import java.util.Arrays;
import java.util.Comparator;
import java.util.SplittableRandom;

/**
 * Decides which fraction of the requests in each {@link DemandBucket} is admitted. A bucket holds
 * the requests of one class and job size, within or beyond their tenants' quotas.
 *
 * <p>Inputs: for each bucket, the arrival rate λ in requests per us, the work v of a request in
 * slot-us and its priority weight γ; the budgets of the {@link CapacityEstimator}s in slots; the
 * tenants' quotas in requests per second.
 *
 * <p>Rule, applied about every {@value #INTERVAL_US} us: maximise Σ γ·λ·x over the admit
 * probabilities x, subject to α ≤ x ≤ 1 with the floor α = {@value #FLOOR} and to Σ λ·x·v ≤ budget
 * for each capacity. A greedy allocation solves this: first the floors, then the buckets in
 * descending order of γ/v while their capacities last. For a request beyond its tenant's quota, γ
 * is multiplied by {@link DispatchSettings#overQuotaWeightFactor}.
 *
 * <p>Reason: under overload, the admitted work has the highest value per slot, and the floor admits
 * enough requests of every class to keep its estimates up to date.
 *
 * <p>Guarantees: it never sheds all requests of a class, and it sheds none while all budgets are
 * infinite.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class AdmissionController {

    /** Minimum admit probability of every bucket, independent of the budgets. */
    static final double FLOOR = 0.02;

    /** Mean time between two allocations, us, with a jitter of a quarter either way. */
    private static final long INTERVAL_US = 400_000;

    /**
     * Value of {@link #nextAllocationUs} before the start; the dispatcher's clock is always above
     * it.
     */
    private static final long NOT_STARTED = 0;

    /** Quota tokens that a client's first send of a request takes. */
    private static final int FIRST_SEND_TOKENS = 1;

    /**
     * Quota tokens that a client's retry takes: none, because a first send within the quota has
     * already taken one.
     */
    private static final int RETRY_TOKENS = 0;

    private final CurrentSettings settings;
    private final WorkerIndex workers;
    private final ServiceTimeEstimator serviceTimes;
    private final SplittableRandom random;
    private final DemandBuckets buckets = new DemandBuckets();
    private QuotaMeter[] quotaMeters;
    private double meanPriorityWeight;
    private double marginalPriorityWeight = 1;
    private long nextAllocationUs = NOT_STARTED;
    private long lastAllocationUs;

    AdmissionController(
            CurrentSettings settings,
            WorkerIndex workers,
            ServiceTimeEstimator serviceTimes,
            SplittableRandom random) {
        this.settings = settings;
        this.workers = workers;
        this.serviceTimes = serviceTimes;
        this.random = random;
        addClasses();
        resetQuotas();
    }

    /**
     * Adds the classes of the current settings that are not known yet. The first call also sets the
     * initial means.
     */
    private void addClasses() {
        final DispatchSettings current = settings.get();
        final int before = buckets.classCount();
        final int count = current.classes().size();
        for (int index = before; index < count; index++) {
            final ClassState classState = newClassState(index);
            if (before == 0) {
                serviceTimes.addInitialRunningTime(classState.runningTimeUs() / count);
                meanPriorityWeight += classState.requestClass().priorityWeight() / count;
            }
            buckets.add(classState, current.overQuotaWeightFactor());
        }
    }

    private ClassState newClassState(int index) {
        final DispatchSettings current = settings.get();
        return new ClassState(index, current.classes().get(index), workers, current.zone());
    }

    private void resetQuotas() {
        final DispatchSettings current = settings.get();
        quotaMeters =
                current.tenants().stream()
                        .map(tenant -> QuotaMeter.of(tenant, current.dispatchers()))
                        .toArray(QuotaMeter[]::new);
    }

    /**
     * Applies new settings. The quota meters keep their tokens unless the tenants or the number of
     * dispatchers changed.
     */
    void settingsChanged(DispatchSettings before, ClassChanges classChanges) {
        final DispatchSettings current = settings.get();
        for (final int number : classChanges.replaced()) {
            buckets.replace(newClassState(number), current.overQuotaWeightFactor());
        }
        addClasses();
        buckets.setRetired(classChanges.retired());
        buckets.classes().forEach(each -> each.placementsChanged(workers));
        if (!current.tenants().equals(before.tenants())
                || current.dispatchers() != before.dispatchers()) {
            resetQuotas();
        }
    }

    /** Returns whether {@link #start} was called or capacity was allocated. */
    boolean isStarted() {
        return nextAllocationUs != NOT_STARTED;
    }

    /** Starts the interval until the first allocation. */
    void start(long nowUs) {
        lastAllocationUs = nowUs;
        nextAllocationUs = nowUs + INTERVAL_US;
    }

    /** Returns the bucket of an arriving job and charges the job to its tenant's quota. */
    DemandBucket bucketOf(Job job, long nowUs) {
        final boolean overQuota =
                job.tenant() < quotaMeters.length
                        && !quotaMeters[job.tenant()].take(
                                nowUs, job.clientRetry() ? RETRY_TOKENS : FIRST_SEND_TOKENS);
        return buckets.of(job.requestClass(), PendingRequest.slotsOf(job), overQuota);
    }

    /** Returns whether the next allocation is due. */
    boolean isAllocationDue(long nowUs) {
        return nowUs >= nextAllocationUs;
    }

    /**
     * Adjusts all budgets by the evidence since the last allocation and by the decayed earlier
     * evidence, and allocates the budgets again.
     */
    void reallocate(long nowUs) {
        final double elapsedUs = Math.max(1, nowUs - lastAllocationUs);
        lastAllocationUs = nowUs;
        nextAllocationUs = nowUs + INTERVAL_US * 3 / 4 + random.nextLong(INTERVAL_US / 2);
        updateDemand(elapsedUs);
        final CapacityEstimator.Conditions conditions =
                new CapacityEstimator.Conditions(
                        meanPriorityWeight,
                        marginalPriorityWeight,
                        buckets.tightestSlackUs(),
                        serviceTimes.meanRunningTimeUs());
        for (final CapacityEstimator capacity : workers.capacities()) {
            capacity.adjust(elapsedUs, conditions);
        }
        marginalPriorityWeight = allocateCapacity(buckets.all(), marginalPriorityWeight);
    }

    private void updateDemand(double elapsedUs) {
        final double sampleWeight = 1 - Math.exp(-elapsedUs / CapacityEstimator.RATE_MEMORY_US);
        final boolean byWork = settings.get().priorityWeightPerWork();
        workers.capacities().forEach(CapacityEstimator::clearOffered);
        for (final DemandBucket bucket : buckets.all()) {
            bucket.updateDemand(elapsedUs, sampleWeight);
            bucket.scalePriorityWeight(
                    byWork ? bucket.work() / serviceTimes.meanRunningTimeUs() : 1);
            bucket.addOfferedToCapacities();
        }
    }

    /**
     * Sets the admit probabilities by allocating the capacities' unallocated work.
     *
     * @param buckets sorted in place by descending priority weight per work
     * @param defaultValue the result if nothing is admitted above the floors
     * @return priority weight per work of the last work admitted, divided by the mean over all
     *     admitted work
     */
    static double allocateCapacity(DemandBucket[] buckets, double defaultValue) {
        Arrays.sort(buckets, Comparator.comparingDouble(bucket -> -bucket.weightPerWork()));
        for (final DemandBucket bucket : buckets) {
            bucket.resetAdmission();
            bucket.admit(FLOOR);
        }
        double priorityWeight = 0;
        double work = 0;
        double marginal = defaultValue;
        for (final DemandBucket bucket : buckets) {
            final double fraction = Math.min(1 - FLOOR, bucket.fittingFraction());
            bucket.admit(fraction);
            priorityWeight += bucket.admitProbability() * bucket.rate() * bucket.priorityWeight();
            work += bucket.admitProbability() * bucket.rate() * bucket.work();
            if (fraction > 0 && bucket.rate() > 0) {
                marginal = bucket.weightPerWork() * work / priorityWeight;
            }
        }
        return marginal;
    }
}

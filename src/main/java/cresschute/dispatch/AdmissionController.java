package cresschute.dispatch;

import java.util.Arrays;
import java.util.Comparator;
import java.util.SplittableRandom;

/**
 * Decides which part of the requests of each class, job size and side of the tenant's quota is
 * admitted.
 *
 * <p>Inputs, of each {@link DemandBucket}: the arrival rate λ in requests a us, the work v of a
 * request in slot-us and its priority weight γ; the budgets of the {@link CapacityEstimator}s in
 * slots; the tenants' quotas in requests a second.
 *
 * <p>Rule, about every {@value #INTERVAL_US} us: maximise Σ γ·λ·x over the admit probabilities x,
 * subject to α ≤ x ≤ 1 with the floor α = {@value #FLOOR} and to Σ λ·x·v ≤ budget for each
 * capacity. The greedy fill solves this: floors first, then buckets by γ/v, largest first, while
 * their capacities last. A request beyond its tenant's quota has γ times the settings' factor.
 *
 * <p>Reason: under overload the work that is left brings the most value, and a floor keeps the
 * estimates of every class alive.
 *
 * <p>Never: it does not close a class wholly, and it sheds nothing while all budgets are infinite.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class AdmissionController {

    /** Admit probability that every bucket has, whatever the budgets. */
    static final double FLOOR = 0.02;

    /** Mean time between two fills, us; each is jittered by a quarter. */
    private static final long INTERVAL_US = 400_000;

    /** Value of {@link #nextAllocationUs} before the start; clocks are later. */
    private static final long NOT_STARTED = 0;

    /** Quota tokens that a request takes when its client sends it first. */
    private static final int FIRST_SEND_TOKENS = 1;

    /** Quota tokens that a client's retry takes: the request has taken its own before. */
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

    /** Adds the classes in force that are new; the first ones also set the initial means. */
    private void addClasses() {
        final DispatchSettings current = settings.get();
        final int before = buckets.classCount();
        final int count = current.classes().size();
        for (int index = before; index < count; index++) {
            final RequestClass requestClass = current.classes().get(index);
            final ClassState classState =
                    new ClassState(index, requestClass, workers, current.zone());
            if (before == 0) {
                serviceTimes.addInitialRunningTime(classState.runningTimeUs() / count);
                meanPriorityWeight += requestClass.priorityWeight() / count;
            }
            buckets.add(classState, current.overQuotaWeightFactor());
        }
    }

    private void resetQuotas() {
        final DispatchSettings current = settings.get();
        quotaMeters =
                current.tenants().stream()
                        .map(tenant -> QuotaMeter.of(tenant, current.dispatchers()))
                        .toArray(QuotaMeter[]::new);
    }

    /** Takes in new settings; quotas go on where neither tenants nor dispatchers changed. */
    void settingsChanged(DispatchSettings before) {
        final DispatchSettings current = settings.get();
        addClasses();
        if (!current.tenants().equals(before.tenants())
                || current.dispatchers() != before.dispatchers()) {
            resetQuotas();
        }
    }

    /** Whether {@link #start} was called or a fill was made. */
    boolean isStarted() {
        return nextAllocationUs != NOT_STARTED;
    }

    /** Starts to count the time between fills. */
    void start(long nowUs) {
        lastAllocationUs = nowUs;
        nextAllocationUs = nowUs + INTERVAL_US;
    }

    /** The bucket of an arriving job, whose tenant's quota it uses. */
    DemandBucket bucketOf(Job job, long nowUs) {
        final boolean overQuota =
                job.tenant() < quotaMeters.length
                        && !quotaMeters[job.tenant()].take(
                                nowUs, job.clientRetry() ? RETRY_TOKENS : FIRST_SEND_TOKENS);
        return buckets.of(job.requestClass(), PendingRequest.slotsOf(job), overQuota);
    }

    /** Whether the next fill is due. */
    boolean isAllocationDue(long nowUs) {
        return nowUs >= nextAllocationUs;
    }

    /** Adjusts all budgets to what ended since the last fill, and fills them. */
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
     * Sets the admit probabilities by what the capacities leave unallocated.
     *
     * @param buckets sorted by this call, most priority weight per work first
     * @param defaultValue what to return where nothing is admitted above the floors
     * @return priority weight per work of the last work admitted, over the mean of all admitted
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

package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Checks which fraction of the requests is admitted. */
class AdmissionControllerTest {

    private static final Placement ONE_KIND = new Placement(null, List.of(0));

    private final WorkerIndex workers = new WorkerIndex(List.of(ONE_KIND));
    private final CapacityEstimator all =
            workers.group(Placement.ANYWHERE, WorkerGroup.Scope.ALL, 0).capacity();
    private final CapacityEstimator kind =
            workers.group(ONE_KIND, WorkerGroup.Scope.ALL, 0).capacity();

    /** Sets the unallocated work of a capacity, slots; that of a new one is 0. */
    private static void allocatable(CapacityEstimator capacity, double slots) {
        capacity.allocate(capacity.unallocated() - slots);
    }

    private DemandBucket bucket(
            double priorityWeight, double rate, double work, Placement placement) {
        final DemandBucket bucket =
                new DemandBucket(
                        new ClassState(
                                0,
                                new RequestClass(
                                        priorityWeight,
                                        1,
                                        1,
                                        1,
                                        Idempotency.SAFE,
                                        DeduplicationScope.ALL,
                                        0,
                                        placement),
                                workers,
                                0),
                        1,
                        1);
        bucket.setDemand(rate, work);
        return bucket;
    }

    @Test
    void allocatesByPriorityWeightPerWorkAboveFloors() {
        final DemandBucket heavy = bucket(10, 1, 1, Placement.ANYWHERE);
        final DemandBucket light = bucket(1, 1, 1, Placement.ANYWHERE);
        final DemandBucket large = bucket(10, 1, 20, Placement.ANYWHERE);
        allocatable(all, 1.5 + AdmissionController.FLOOR * 20);
        AdmissionController.allocateCapacity(new DemandBucket[] {large, light, heavy}, 1);
        assertThat(heavy.admitProbability()).isCloseTo(1, within(1e-9));
        assertThat(light.admitProbability()).isCloseTo(0.5, within(1e-9));
        assertThat(large.admitProbability()).isCloseTo(AdmissionController.FLOOR, within(1e-9));
    }

    @Test
    void limitsClassesOfPlacementOnlyByBudgetsOfContainingPlacements() {
        final DemandBucket bound = bucket(10, 1, 1, ONE_KIND);
        final DemandBucket free = bucket(1, 1, 1, Placement.ANYWHERE);
        allocatable(all, 100);
        allocatable(kind, 0.25);
        AdmissionController.allocateCapacity(new DemandBucket[] {bound, free}, 1);
        assertThat(bound.admitProbability()).isCloseTo(0.25, within(1e-9));
        assertThat(free.admitProbability()).isCloseTo(1, within(1e-9));
    }

    @Test
    void admitsEverythingWhileBudgetIsInfinite() {
        final DemandBucket bucket = bucket(1, 50, 3, Placement.ANYWHERE);
        allocatable(all, Double.POSITIVE_INFINITY);
        AdmissionController.allocateCapacity(new DemandBucket[] {bucket}, 1);
        assertThat(bucket.admitProbability()).isEqualTo(1);
    }

    @Property(seed = "23", tries = 300)
    void respectsFloorsBudgetAndOrderForAnyDemand(
            @ForAll @Size(6) List<@DoubleRange(min = 0.1, max = 20) Double> priorityWeights,
            @ForAll @Size(6) List<@DoubleRange(min = 0, max = 50) Double> rates,
            @ForAll @Size(6) List<@DoubleRange(min = 0.01, max = 10) Double> works,
            @ForAll @DoubleRange(min = 0, max = 500) double budget) {
        final DemandBucket[] buckets = new DemandBucket[6];
        double floorWork = 0;
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] =
                    bucket(priorityWeights.get(i), rates.get(i), works.get(i), Placement.ANYWHERE);
            floorWork += AdmissionController.FLOOR * rates.get(i) * works.get(i);
        }
        allocatable(all, budget);
        AdmissionController.allocateCapacity(buckets, 1);
        double admittedWork = 0;
        for (int i = 0; i < buckets.length; i++) {
            assertThat(buckets[i].admitProbability())
                    .isBetween(AdmissionController.FLOOR - 1e-9, 1 + 1e-9);
            admittedWork += buckets[i].admitProbability() * buckets[i].rate() * buckets[i].work();
            if (i > 0
                    && buckets[i].rate() > 0
                    && buckets[i].admitProbability() > AdmissionController.FLOOR + 1e-9) {
                assertThat(buckets[i - 1].admitProbability()).isCloseTo(1, within(1e-9));
            }
        }
        assertThat(admittedWork).isLessThanOrEqualTo(Math.max(budget, floorWork) + 1e-6);
    }

    @Test
    void reallocatesEvery300To500Milliseconds() {
        final AdmissionController admission = PolicyFixture.ofSafeClass().admission;
        assertThat(admission.isStarted()).isFalse();
        long nowUs = 5 * SECOND;
        admission.start(nowUs);
        assertThat(admission.isStarted()).isTrue();
        assertThat(admission.isAllocationDue(nowUs + 399_999)).isFalse();
        nowUs += 400_000;
        for (int allocation = 0; allocation < 50; allocation++) {
            assertThat(admission.isAllocationDue(nowUs)).isTrue();
            admission.reallocate(nowUs);
            assertThat(admission.isAllocationDue(nowUs + 299_999)).isFalse();
            nowUs += 500_000;
        }
    }

    @Test
    void reducesWeightOfRequestsBeyondTenantQuota() {
        final PolicyFixture fixture =
                new PolicyFixture(
                        new TestSettings(
                                        List.of(
                                                TestSettings.requestClass(
                                                        10,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL)))
                                .tenants(new Tenant("a", 0.1))
                                .build());
        final Job job = new Job(0, 0, 1, Job.NO_HINT, Job.NO_DATA, false);
        for (int i = 0; i < 3; i++) {
            assertThat(fixture.admission.bucketOf(job, 3_600 * SECOND).priorityWeight())
                    .isEqualTo(10);
        }
        assertThat(fixture.admission.bucketOf(job, 3_600 * SECOND).priorityWeight())
                .isEqualTo(10 * 0.05);
        final Job withoutTenant = new Job(0, 1, 1, Job.NO_HINT, Job.NO_DATA, false);
        assertThat(fixture.admission.bucketOf(withoutTenant, 3_600 * SECOND).priorityWeight())
                .isEqualTo(10);
    }

    @Test
    void admitsExactFractionOfArrivals() {
        final DemandBucket half = bucket(1, 1, 1, Placement.ANYWHERE);
        half.resetAdmission();
        half.admit(0.5);
        int admitted = 0;
        for (int arrival = 0; arrival < 100; arrival++) {
            admitted += half.admitNext() ? 1 : 0;
        }
        assertThat(admitted).isEqualTo(50);
    }
}

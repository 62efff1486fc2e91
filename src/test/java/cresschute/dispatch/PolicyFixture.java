package cresschute.dispatch;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The policies of one dispatcher, connected as in {@link Dispatcher}, for tests of a single policy.
 */
final class PolicyFixture {

    static final long SECOND = 1_000_000;
    static final long SEED = 7;

    final CurrentSettings settings;
    final WorkerIndex workers;
    final ServiceTimeEstimator serviceTimes;
    final WorkerLoadEstimator loads;
    final SlowStart slowStart;
    final OutlierDetector outliers;
    final WorkerSelector selector;
    final LoadQueryPolicy loadQueries;
    final AdmissionController admission;
    final DeadlinePolicy deadlines;
    final RetryPolicy retries;
    final HedgingPolicy hedging;
    final EndpointListPoller poller;
    final AttemptFeedback feedback;

    PolicyFixture(DispatchSettings initialSettings) {
        this(initialSettings, SEED);
    }

    PolicyFixture(DispatchSettings initialSettings, long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        settings = new CurrentSettings(initialSettings);
        workers =
                new WorkerIndex(
                        initialSettings.classes().stream().map(RequestClass::placement).toList());
        serviceTimes = new ServiceTimeEstimator(settings);
        loads = new WorkerLoadEstimator(settings, serviceTimes);
        slowStart = new SlowStart(settings, serviceTimes, random);
        outliers = new OutlierDetector(settings, serviceTimes, loads);
        selector = new WorkerSelector(settings, serviceTimes, loads, slowStart, outliers, random);
        loadQueries = new LoadQueryPolicy(settings, serviceTimes);
        admission = new AdmissionController(settings, workers, serviceTimes, random);
        deadlines = new DeadlinePolicy(settings);
        retries = new RetryPolicy(settings, workers, deadlines);
        hedging = new HedgingPolicy(settings, retries);
        poller = new EndpointListPoller(settings, random);
        feedback = new AttemptFeedback(serviceTimes, loads, slowStart, outliers, deadlines);
    }

    /**
     * Creates the policies for one class of {@link TestSettings#requestClass} and default settings.
     */
    static PolicyFixture of(Idempotency idempotency, DeduplicationScope scope) {
        return new PolicyFixture(
                TestSettings.settings(List.of(TestSettings.requestClass(1, idempotency, scope))));
    }

    static PolicyFixture ofSafeClass() {
        return of(Idempotency.SAFE, DeduplicationScope.ALL);
    }

    /** Adds a dispatchable worker that started long ago. */
    WorkerInstance ready(int id, int zone, int cell) {
        return ready(RecordingHost.worker(id, zone, cell));
    }

    WorkerInstance ready(Worker entry) {
        final WorkerInstance worker = workers.add(entry);
        worker.joinGroups();
        return worker;
    }

    /** Creates a request of the first class that arrives now and has its deadline in 5 s. */
    PendingRequest request(int id, long nowUs) {
        return request(id, nowUs, nowUs + 5 * SECOND);
    }

    PendingRequest request(int id, long nowUs, long deadlineUs) {
        return request(id, nowUs, deadlineUs, new Job(0, 0, 1, Job.NO_HINT, Job.NO_DATA, false));
    }

    PendingRequest request(int id, long nowUs, long deadlineUs, Job job) {
        return new PendingRequest(
                id,
                admission.bucketOf(job, nowUs),
                job,
                nowUs,
                deadlineUs,
                settings.get().limits());
    }
}

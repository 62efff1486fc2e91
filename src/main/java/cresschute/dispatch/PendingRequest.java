package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state of a request that is not answered yet or still has attempts in flight. It makes no
 * decisions.
 */
final class PendingRequest {

    private final int id;
    private final ClassState classState;
    private final double priorityWeight;
    private final double slots;
    private final double runningTimeHintUs;
    private final long dataKey;
    private final long firstSentUs;
    private final long deadlineUs;
    private final int maxAttempts;
    private final boolean allowsHedging;

    private final List<AttemptRecord> inFlight = new ArrayList<>(1);
    private int attemptsSent;
    private WorkerInstance lastWorker;

    /**
     * The worker that holds the job's data, as of the last selection; null if the job needs no
     * data.
     */
    private WorkerInstance dataWorker;

    private final List<WorkerInstance> queried = new ArrayList<>(2);

    /**
     * The best worker of those that answered a load query since the last send; null if none did.
     */
    private WorkerInstance bestQueried;

    /** Rounds of load queries since the last send. */
    private int queryRounds;

    private long nextHedgeQueryUs;
    private boolean closed;
    private boolean mayHaveRun;
    private long deduplicatedUntilUs;

    /**
     * The workers that may get further attempts, because they drop a duplicate; null if not
     * restricted.
     */
    private WorkerGroup deduplicationGroup;

    /**
     * Creates a request without attempts.
     *
     * @param bucket the request's bucket; the request keeps its current priority weight
     * @param firstSentUs time of the client's first send, us
     * @param limits the attempt limits at the request's arrival
     */
    PendingRequest(
            int id,
            DemandBucket bucket,
            Job job,
            long firstSentUs,
            long deadlineUs,
            AttemptLimits limits) {
        this.id = id;
        this.classState = bucket.classState();
        this.priorityWeight = bucket.priorityWeight();
        this.slots = slotsOf(job);
        this.runningTimeHintUs = job.runningTimeHintUs();
        this.dataKey = job.dataKey();
        this.firstSentUs = firstSentUs;
        this.deadlineUs = deadlineUs;
        this.maxAttempts = Math.min(limits.maxAttempts(), classState.requestClass().maxAttempts());
        this.allowsHedging = limits.allowsHedging();
    }

    /** Slots that a job takes; 1 if not specified. */
    static double slotsOf(Job job) {
        return job.slots() > 0 ? job.slots() : 1;
    }

    int id() {
        return id;
    }

    ClassState classState() {
        return classState;
    }

    RequestClass requestClass() {
        return classState.requestClass();
    }

    int classIndex() {
        return classState.index();
    }

    double priorityWeight() {
        return priorityWeight;
    }

    double slots() {
        return slots;
    }

    /** Returns whether the client sent the expected running time. */
    boolean hasRunningTimeHint() {
        return runningTimeHintUs > 0;
    }

    /** Key of the data that the job needs; {@link Job#NO_DATA} for none. */
    long dataKey() {
        return dataKey;
    }

    /** Time of the client's first send, as estimated at the arrival, us. */
    long firstSentUs() {
        return firstSentUs;
    }

    /**
     * Time at which attempts end at the latest, us. The node keeps a margin between this time and
     * the client's deadline.
     */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Maximum number of attempts, from the settings at the arrival. */
    int maxAttempts() {
        return maxAttempts;
    }

    /** Returns whether the settings allowed hedging at the request's arrival. */
    boolean allowsHedging() {
        return allowsHedging;
    }

    /**
     * Expected running time at a worker of usual speed, us: the client's hint, or else the estimate
     * of the class.
     */
    double runningTimeUs() {
        return hasRunningTimeHint() ? runningTimeHintUs : classState.runningTimeUs();
    }

    /** Longest time after the first send at which an answer is in time, us. */
    double inTimeUs() {
        return classState.inTimeUs(runningTimeUs());
    }

    /** Time that the request may wait after its first send and still be in time, us. */
    double slackUs() {
        return inTimeUs() - runningTimeUs();
    }

    /** Expected work, slot-us. */
    double work() {
        return slots * runningTimeUs();
    }

    /** Expected work plus its standard error, slot-us. */
    double conservativeWork() {
        return work()
                * (hasRunningTimeHint() || classState.samples() == 0
                        ? 1
                        : 1 + 1 / Math.sqrt(classState.samples()));
    }

    /** Starts the next attempt and stops waiting for load queries. */
    AttemptRecord startAttempt(WorkerInstance worker, long nowUs) {
        cancelQueries();
        final AttemptRecord attempt = new AttemptRecord(attemptsSent++, worker, nowUs);
        inFlight.add(attempt);
        lastWorker = worker;
        return attempt;
    }

    /** Number of attempts sent so far. */
    int attemptsSent() {
        return attemptsSent;
    }

    /** The worker of the last attempt; null before the first. */
    WorkerInstance lastWorker() {
        return lastWorker;
    }

    boolean hasAttemptInFlight() {
        return !inFlight.isEmpty();
    }

    /** Returns whether exactly one attempt is in flight. */
    boolean hasOneAttemptInFlight() {
        return inFlight.size() == 1;
    }

    /** Returns the attempts in flight, as a copy. */
    List<AttemptRecord> attemptsInFlight() {
        return List.copyOf(inFlight);
    }

    /** Returns the attempt in flight with this number; null if there is none. */
    AttemptRecord findAttempt(int number) {
        for (final AttemptRecord attempt : inFlight) {
            if (attempt.number() == number) {
                return attempt;
            }
        }
        return null;
    }

    void endAttempt(AttemptRecord attempt) {
        inFlight.remove(attempt);
    }

    /**
     * The worker that holds the job's data; null if the job needs none or no worker was selected
     * yet.
     */
    WorkerInstance dataWorker() {
        return dataWorker;
    }

    void setDataWorker(WorkerInstance worker) {
        dataWorker = worker;
    }

    /** Starts a round of load queries and stops waiting for the previous round. */
    void startQueries(List<WorkerInstance> workers) {
        queryRounds++;
        queried.clear();
        queried.addAll(workers);
        for (final WorkerInstance worker : workers) {
            worker.addQueryingRequest(this);
        }
    }

    /**
     * Records that a worker answered a load query. Returns false if the request does not wait for
     * it.
     */
    boolean endQuery(WorkerInstance worker) {
        return queried.remove(worker);
    }

    boolean hasPendingQueries() {
        return !queried.isEmpty();
    }

    int queryRounds() {
        return queryRounds;
    }

    /** The best worker of those that answered a load query; null if none did. */
    WorkerInstance bestQueried() {
        return bestQueried;
    }

    void setBestQueried(WorkerInstance worker) {
        bestQueried = worker;
    }

    private void cancelQueries() {
        queryRounds = 0;
        queried.clear();
        bestQueried = null;
    }

    /** Time at which workers may be queried again for a hedged request, us. */
    long nextHedgeQueryUs() {
        return nextHedgeQueryUs;
    }

    void setNextHedgeQueryUs(long us) {
        nextHedgeQueryUs = us;
    }

    /** Marks the request as needing no answer any more. */
    void close() {
        closed = true;
        cancelQueries();
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Records that an attempt may have had its effect.
     *
     * @param deduplicatedUntil time until which a duplicate is dropped, us
     * @param group the workers that drop a duplicate; empty if all workers do
     */
    void markMayHaveRun(long deduplicatedUntil, Optional<WorkerGroup> group) {
        mayHaveRun = true;
        deduplicatedUntilUs = deduplicatedUntil;
        deduplicationGroup = group.orElse(null);
    }

    /** Returns whether an attempt that ended, or that is hedged, may have had its effect. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Time until which a duplicate is dropped, us; valid only if {@link #mayHaveRun}. */
    long deduplicatedUntilUs() {
        return deduplicatedUntilUs;
    }

    boolean isBoundToGroup() {
        return deduplicationGroup != null;
    }

    /**
     * Restricts the workers of further attempts to a group; empty allows all workers of the class.
     */
    void bindToGroup(Optional<WorkerGroup> group) {
        deduplicationGroup = group.orElse(null);
    }

    /** The workers that may get the next attempt. */
    WorkerGroup candidates() {
        return deduplicationGroup == null ? classState.allWorkers() : deduplicationGroup;
    }

    /**
     * The preferred workers among {@link #candidates}: those in the dispatcher's zone, or the group
     * that the request is restricted to.
     */
    WorkerGroup preferredCandidates() {
        return deduplicationGroup == null ? classState.zoneWorkers() : deduplicationGroup;
    }
}

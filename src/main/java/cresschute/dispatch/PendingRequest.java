package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request that is owed an answer or has attempts in flight. It keeps state for the rules and
 * decides nothing.
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

    /** Where its data is, as far as the last selection saw; null where it needs none. */
    private WorkerInstance dataWorker;

    private final List<WorkerInstance> queried = new ArrayList<>(2);

    /** The best worker of those that answered a load query since the last send; null: none. */
    private WorkerInstance bestQueried;

    /** Rounds of load queries since the last send. */
    private int queryRounds;

    private long nextHedgeQueryUs;
    private boolean closed;
    private boolean mayHaveRun;
    private long deduplicatedUntilUs;

    /** The only workers that drop a duplicate of it; null where that is no bound. */
    private WorkerGroup deduplicationGroup;

    /**
     * A request of which nothing was sent yet.
     *
     * @param bucket whose priority weight of the moment it keeps
     * @param firstSentUs when its client sent it first, us
     * @param limits the limits in force at its arrival
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

    /** Slots that a job takes; 1 where none are stated. */
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

    /** Whether its expected running time came with it. */
    boolean hasRunningTimeHint() {
        return runningTimeHintUs > 0;
    }

    /** What data it needs; {@link Job#NO_DATA} for none. */
    long dataKey() {
        return dataKey;
    }

    /** When its client sent it first, as far as known, us. */
    long firstSentUs() {
        return firstSentUs;
    }

    /**
     * When its attempts end, us: the node keeps a margin between this and the client's deadline.
     */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Attempts that the settings allowed at its arrival. */
    int maxAttempts() {
        return maxAttempts;
    }

    /** Whether the settings allowed a hedged request at its arrival. */
    boolean allowsHedging() {
        return allowsHedging;
    }

    /**
     * Expected running time at the usual pace, us: its own hint, else the estimate of its class.
     */
    double runningTimeUs() {
        return hasRunningTimeHint() ? runningTimeHintUs : classState.runningTimeUs();
    }

    /** Latest time after its first send at which an answer is in time, us. */
    double inTimeUs() {
        return classState.inTimeUs(runningTimeUs());
    }

    /** Time after its first send that it may spend waiting and be in time, us. */
    double slackUs() {
        return inTimeUs() - runningTimeUs();
    }

    /** Expected work, slot-us. */
    double work() {
        return slots * runningTimeUs();
    }

    /** Expected work and its standard error, slot-us. */
    double conservativeWork() {
        return work()
                * (hasRunningTimeHint() || classState.samples() == 0
                        ? 1
                        : 1 + 1 / Math.sqrt(classState.samples()));
    }

    /** Starts its next attempt; reports to load queries are no longer waited for. */
    AttemptRecord startAttempt(WorkerInstance worker, long nowUs) {
        cancelQueries();
        final AttemptRecord attempt = new AttemptRecord(attemptsSent++, worker, nowUs);
        inFlight.add(attempt);
        lastWorker = worker;
        return attempt;
    }

    /** Attempts sent so far. */
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

    /** Whether exactly one attempt is in flight. */
    boolean hasOneAttemptInFlight() {
        return inFlight.size() == 1;
    }

    /** The attempts in flight, in a new list. */
    List<AttemptRecord> attemptsInFlight() {
        return List.copyOf(inFlight);
    }

    /** The attempt in flight of this number; null where there is none. */
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

    /** Where its data is; null where it needs none or none was selected yet. */
    WorkerInstance dataWorker() {
        return dataWorker;
    }

    void setDataWorker(WorkerInstance worker) {
        dataWorker = worker;
    }

    /** Starts a round of load queries; reports of the round before are no longer waited for. */
    void startQueries(List<WorkerInstance> workers) {
        queryRounds++;
        queried.clear();
        queried.addAll(workers);
        for (final WorkerInstance worker : workers) {
            worker.addQueryingRequest(this);
        }
    }

    /** Takes in that a worker answered; false where its report is not waited for. */
    boolean endQuery(WorkerInstance worker) {
        return queried.remove(worker);
    }

    boolean hasPendingQueries() {
        return !queried.isEmpty();
    }

    int queryRounds() {
        return queryRounds;
    }

    /** Best worker of those that answered; null where none did. */
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

    /** When workers may be queried again for a hedged request, us. */
    long nextHedgeQueryUs() {
        return nextHedgeQueryUs;
    }

    void setNextHedgeQueryUs(long us) {
        nextHedgeQueryUs = us;
    }

    /** Notes that no answer is owed any more. */
    void close() {
        closed = true;
        cancelQueries();
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Notes that an attempt may have had its effect.
     *
     * @param deduplicatedUntil until when a duplicate is dropped, us
     * @param group the workers that drop it; empty where all do
     */
    void markMayHaveRun(long deduplicatedUntil, Optional<WorkerGroup> group) {
        mayHaveRun = true;
        deduplicatedUntilUs = deduplicatedUntil;
        deduplicationGroup = group.orElse(null);
    }

    /** Whether an attempt that ended, or that is hedged, may have had its effect. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Until when a duplicate is dropped, us; only where it may have run. */
    long deduplicatedUntilUs() {
        return deduplicatedUntilUs;
    }

    boolean isBoundToGroup() {
        return deduplicationGroup != null;
    }

    /** Restricts its workers to a group for a while; empty: to those of its class. */
    void bindToGroup(Optional<WorkerGroup> group) {
        deduplicationGroup = group.orElse(null);
    }

    /** The workers to which its next attempt may go. */
    WorkerGroup candidates() {
        return deduplicationGroup == null ? classState.allWorkers() : deduplicationGroup;
    }

    /** The workers to prefer among them: those of the dispatcher's zone, unless it is bound. */
    WorkerGroup preferredCandidates() {
        return deduplicationGroup == null ? classState.zoneWorkers() : deduplicationGroup;
    }
}

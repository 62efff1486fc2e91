package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;

/**
 * An attempt in flight, from {@link HealthTracker#attemptSent} until {@link #ended}. Used on the
 * tracker's thread.
 */
public final class TrackedAttempt {

    /** A running job this many times as old as the median of its class is held up. */
    private static final double DELAYED_FACTOR = 3;

    private static final long NOT_STARTED = 0;

    private final WorkerHealth worker;
    private final ClassHealth requestClass;
    private final long sentUs;
    private long startedUs = NOT_STARTED;

    /** Creates an attempt that was sent at this time, microseconds. */
    TrackedAttempt(WorkerHealth worker, ClassHealth requestClass, long sentUs) {
        this.worker = worker;
        this.requestClass = requestClass;
        this.sentUs = sentUs;
    }

    /** The worker reported that the job started, or its progress. */
    public void progressReported(long nowUs) {
        startedUs = startedUs == NOT_STARTED ? nowUs : startedUs;
        worker.activityObserved(nowUs);
    }

    /**
     * The attempt ended; called once.
     *
     * @param report the load that the worker stated with its response, or {@link LoadReport#NONE}
     */
    public void ended(long nowUs, Outcome outcome, LoadReport report) {
        worker.attemptEnded(nowUs, this, outcome);
        requestClass.attemptEnded();
        worker.loadReported(nowUs, report);
        if (outcome == Outcome.SERVED) {
            worker.served(nowUs, this);
            requestClass.addRunTime(nowUs, runTimeUs(nowUs));
        } else {
            worker.notServed(nowUs, outcome);
        }
    }

    /**
     * How long the job has run, microseconds: since it started, or since it was sent where no start
     * was reported.
     */
    public long runTimeUs(long nowUs) {
        return nowUs - (isStarted() ? startedUs : sentUs);
    }

    /** The class of its request. */
    ClassHealth requestClass() {
        return requestClass;
    }

    /** When it was sent, microseconds. */
    long sentUs() {
        return sentUs;
    }

    /** Whether the worker reported that the job started. */
    boolean isStarted() {
        return startedUs != NOT_STARTED;
    }

    /** Whether the job runs and its class has a median to compare it with. */
    boolean isComparable() {
        return isStarted() && requestClass.hasMedian();
    }

    /** Whether the job runs much longer than the median of its class; only if comparable. */
    boolean isDelayed(long nowUs) {
        return nowUs - startedUs > DELAYED_FACTOR * requestClass.medianRunTimeUs();
    }
}

package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;

/**
 * An attempt in flight, from {@link HealthTracker#attemptSent} until {@link #ended}. Used on the
 * thread of the tracker.
 */
public final class TrackedAttempt {

    /** A job is delayed if it has run for more than this multiple of the median of its class. */
    private static final double DELAYED_FACTOR = 3;

    private static final long NOT_STARTED = 0;

    private final WorkerHealth worker;
    private final ClassHealth requestClass;
    private final long sentUs;
    private long startedUs = NOT_STARTED;

    /**
     * Creates an attempt.
     *
     * @param sentUs when the attempt was sent, microseconds
     */
    TrackedAttempt(WorkerHealth worker, ClassHealth requestClass, long sentUs) {
        this.worker = worker;
        this.requestClass = requestClass;
        this.sentUs = sentUs;
    }

    /** Records that the worker reported the start or the progress of the job. */
    public void progressReported(long nowUs) {
        startedUs = startedUs == NOT_STARTED ? nowUs : startedUs;
        worker.activityObserved(nowUs);
    }

    /**
     * Records the end of the attempt; called once.
     *
     * @param report the load report in the worker's response, or {@link LoadReport#NONE}
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
     * Returns the running time of the job in microseconds: since its start, or since it was sent if
     * no start was reported.
     */
    public long runTimeUs(long nowUs) {
        return nowUs - (isStarted() ? startedUs : sentUs);
    }

    /** Returns the class of the request. */
    ClassHealth requestClass() {
        return requestClass;
    }

    /** Returns when the attempt was sent, microseconds. */
    long sentUs() {
        return sentUs;
    }

    /** Returns whether the worker reported that the job started. */
    boolean isStarted() {
        return startedUs != NOT_STARTED;
    }

    /** Returns whether the job is running and its class has a median to compare it with. */
    boolean isComparable() {
        return isStarted() && requestClass.hasMedian();
    }

    /**
     * Returns whether the job has run much longer than the median of its class; valid only if
     * {@link #isComparable}.
     */
    boolean isDelayed(long nowUs) {
        return nowUs - startedUs > DELAYED_FACTOR * requestClass.medianRunTimeUs();
    }
}

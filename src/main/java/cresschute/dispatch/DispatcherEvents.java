package cresschute.dispatch;

import java.util.List;

/**
 * The events that a host delivers to its dispatcher. The host makes all calls on one thread. Times
 * are in us on one clock that is above 0 and never goes back; {@code nowUs} is the time of the
 * call.
 */
public interface DispatcherEvents {

    /**
     * Reports that the endpoint list was read, has changed or could not be read. The first call
     * after the start has the form {@link EndpointListForm#CACHED}.
     *
     * @param entries all workers or only those that changed, depending on {@code form}
     */
    void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries);

    /**
     * Reports that a request arrived. It must be answered exactly once: by a worker, by {@link
     * DispatcherActions#reject} or by {@link DispatcherActions#fail}.
     *
     * @param requestId not used by another request that is open or has attempts in flight
     * @param deadlineUs time by which it must be answered, us
     */
    void requestArrived(long nowUs, int requestId, Job job, long deadlineUs);

    /**
     * Asks whether the first byte of an attempt may be written now. The host asks right before it
     * writes, because a connection may come up long after {@link DispatcherActions#send}.
     *
     * @param attempt number of the attempt, from 0
     */
    default SendDecision decideSend(long nowUs, int requestId, int attempt) {
        return SendDecision.ALLOWED;
    }

    /**
     * Reports that a request needs no answer any more: its client left, or the host answered it.
     */
    void clientLeft(long nowUs, int requestId);

    /**
     * Reports that a job has started or progressed. Reports about unknown attempts are ignored.
     *
     * @param attempt number of the attempt, from 0
     * @param fractionDone fraction of the job that is done, from 0 at its start to 1
     */
    void jobProgressed(long nowUs, int requestId, int attempt, int workerId, double fractionDone);

    /**
     * Reports that an attempt ended. Called once for each {@link DispatcherActions#send}; unknown
     * attempts are ignored.
     *
     * @param attempt number of the attempt, from 0
     * @param elapsedUs time since the send, us
     * @param requestClosed whether this attempt answered the request, or the request needs no
     *     answer any more
     * @param report the worker's load, or {@link LoadReport#NONE}
     */
    void attemptEnded(
            long nowUs,
            int requestId,
            int attempt,
            int workerId,
            Outcome outcome,
            long elapsedUs,
            boolean requestClosed,
            LoadReport report);

    /**
     * Reports the end of a load query, once for each query, or a load that is known without a
     * query.
     *
     * @param outcome {@link Outcome#SERVED} if the load is known
     */
    void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report);

    /** Passes on a report of another dispatcher that jobs of a class do not start at a worker. */
    void workerReportedUnresponsive(long nowUs, int workerId, int requestClass);

    /** Reports that a timer started by {@link DispatcherActions#startTimer} has expired. */
    void timerFired(long nowUs, long token);

    /**
     * Replaces the settings while the dispatcher runs. The new settings must list the current
     * classes first and in order, unchanged but for replaced numbers; new classes may follow. A
     * retired class stays in the list and gets no more requests, so that a pending request keeps
     * its class. A lower attempt limit also applies to pending requests, a higher one only to
     * requests that arrive later. All estimates are kept, except those of replaced classes.
     *
     * @param classChanges the class numbers whose meaning changes
     * @throws IllegalArgumentException if {@link DispatchSettings#canReplace} returns false
     */
    void settingsChanged(long nowUs, DispatchSettings settings, ClassChanges classChanges);

    /** Same, if no class is replaced or retired. */
    default void settingsChanged(long nowUs, DispatchSettings settings) {
        settingsChanged(nowUs, settings, ClassChanges.NONE);
    }
}

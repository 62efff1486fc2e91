package cresschute.dispatch;

import java.util.List;

/**
 * The events of a dispatcher, as its host delivers them. All calls come on one thread. Times are us
 * on one clock that is above 0 and does not go back; {@code nowUs} is the time of the call.
 */
public interface DispatcherEvents {

    /**
     * The endpoint list was read, has changed or could not be read. The first call after the start
     * has the form {@link EndpointListForm#CACHED}.
     *
     * @param entries all workers or those that changed, by {@code form}
     */
    void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries);

    /**
     * A request arrived. It is to be answered once, by an answer of a worker or by {@link
     * DispatcherActions#reject} or {@link DispatcherActions#fail}.
     *
     * @param requestId not used by another request that is open or has attempts in flight
     * @param deadlineUs when it must be answered
     */
    void requestArrived(long nowUs, int requestId, Job job, long deadlineUs);

    /** The client left or was answered otherwise: no answer is owed any more. */
    void clientLeft(long nowUs, int requestId);

    /**
     * A job has started or progressed. Reports on unknown attempts are ignored.
     *
     * @param attempt number of the attempt, from 0
     * @param fractionDone part of the job that is done, from 0 at its start to 1
     */
    void jobProgressed(long nowUs, int requestId, int attempt, int workerId, double fractionDone);

    /**
     * An attempt ended; called once for each {@link DispatcherActions#send}. Ends of unknown
     * attempts are ignored.
     *
     * @param attempt number of the attempt, from 0
     * @param elapsedUs time since the send, us
     * @param requestClosed whether the request was answered with it or no answer is owed any more
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
     * A load query ended, one call for each, or a load is known without one.
     *
     * @param outcome {@link Outcome#SERVED} where the load is known
     */
    void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report);

    /** Another dispatcher reports that jobs of a class do not start at a worker. */
    void workerReportedUnresponsive(long nowUs, int workerId, int requestClass);

    /** A timer of {@link DispatcherActions#startTimer} is due. */
    void timerFired(long nowUs, long token);

    /**
     * The settings change while the dispatcher runs. The classes in force come first, unchanged and
     * in their order, and new ones may follow; a class that is withdrawn stays and gets no more
     * requests, so a pending request keeps its class. A lower limit of attempts holds for pending
     * requests too, a higher one only for those that arrive later. What was learned stays.
     *
     * @throws IllegalArgumentException if {@link DispatchSettings#canReplace} does not allow it
     */
    void settingsChanged(long nowUs, DispatchSettings settings);
}

package cresschute.dispatch;

import java.util.List;

/** What the host tells the module. Each call carries the clock of the moment. */
public interface DispatcherEvents {

    /** The list or a change to it; the first call after the start has form {@code CACHED}. */
    void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries);

    /** A client's request, to be answered once by {@code deadlineUs}. */
    void requestArrived(long nowUs, int requestId, Job job, long deadlineUs);

    /** The client left or was answered otherwise: nothing is owed any more. */
    void clientLeft(long nowUs, int requestId);

    /** A job has started to run (share 0), or how much of it is done. */
    void jobProgressed(long nowUs, int requestId, int attempt, int workerId, double fractionDone);

    /** An attempt ended, once for each send. {@code requestClosed}: no answer is owed any more. */
    void attemptEnded(
            long nowUs,
            int requestId,
            int attempt,
            int workerId,
            Outcome outcome,
            long elapsedUs,
            boolean requestClosed,
            LoadReport report);

    /** A probe ended, one call for each, or a load is known unasked; {@code SERVED} where known. */
    void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report);

    /** Another dispatcher says that jobs of a class do not start at a worker. */
    void workerReportedUnresponsive(long nowUs, int workerId, int requestClass);

    /** A timer asked for by {@link DispatcherActions#startTimer} is due. */
    void timerFired(long nowUs, long token);

    /**
     * The settings change while the module runs, as an operator changed them. The classes told
     * before come first, unchanged and in their order, and new ones may follow; a class that no
     * longer comes stays and is simply not asked for any more, so a request under way keeps its
     * class. The number of attempts allowed may fall: that holds for requests under way too, while
     * a rise holds only for those that arrive later. The dispatcher's zone and the numbers of zones
     * and kinds stay as they were.
     *
     * @throws IllegalArgumentException where the classes told before, the zones or the kinds differ
     */
    void settingsChanged(long nowUs, DispatchSettings settings);
}

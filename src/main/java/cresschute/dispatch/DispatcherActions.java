package cresschute.dispatch;

/**
 * What a dispatcher asks of its host. Every method is called on the dispatcher's thread, from
 * within an event, and must return without waiting.
 */
public interface DispatcherActions {

    /**
     * Starts the request's next attempt, which {@link DispatcherEvents#attemptEnded} ends. Attempts
     * are numbered from 0 in the order of these calls.
     *
     * @param deadlineUs when the attempt ends at the latest, us on the dispatcher's clock
     */
    void send(int requestId, int workerId, long deadlineUs);

    /**
     * Answers the request for good as rejected: a retry does no harm.
     *
     * @param retryAfterUs pause that the client is advised, us; 0 for no advice
     */
    void reject(int requestId, long retryAfterUs);

    /** Answers the request for good as failed: it may or may not have run. */
    void fail(int requestId);

    /**
     * Asks for one {@link DispatcherEvents#timerFired}.
     *
     * @param token handed back by the event
     * @param delayUs time from now, us
     */
    void startTimer(long token, long delayUs);

    /**
     * Polls the endpoint list: asks for its changes from now on, which one {@link
     * DispatcherEvents#endpointListChanged} reports.
     */
    void pollEndpointList();

    /**
     * Asks a worker for its load, which {@link DispatcherEvents#loadReported} reports. Called only
     * where {@link DispatchSettings#allowsLoadQueries}.
     */
    void queryLoad(int workerId);

    /**
     * Informs all other dispatchers that jobs of a class do not start at a worker. Called only
     * where {@link DispatchSettings#allowsPeerMessages}.
     */
    void reportUnresponsive(int workerId, int requestClass);

    /** Closes the connections to a worker that no attempt uses now. */
    void closeIdleConnections(int workerId);
}

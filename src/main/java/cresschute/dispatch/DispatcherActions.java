package cresschute.dispatch;

/**
 * The actions that a dispatcher asks its host to perform. Every method is called on the
 * dispatcher's thread, from within an event, and must return without blocking.
 */
public interface DispatcherActions {

    /**
     * Starts the request's next attempt. Its end is reported by {@link
     * DispatcherEvents#attemptEnded}. Attempts are numbered from 0 in the order of these calls.
     *
     * @param deadlineUs latest time at which the attempt ends, us on the dispatcher's clock
     */
    void send(int requestId, int workerId, long deadlineUs);

    /**
     * Sends the final answer "rejected", which promises that a retry does no harm.
     *
     * @param retryAfterUs time that the client is advised to wait before a retry, us; 0 for no
     *     advice
     */
    void reject(int requestId, long retryAfterUs);

    /** Sends the final answer "failed": the request may or may not have run. */
    void fail(int requestId);

    /**
     * Asks for one {@link DispatcherEvents#timerFired}.
     *
     * @param token passed to the event
     * @param delayUs time from now, us
     */
    void startTimer(long token, long delayUs);

    /**
     * Polls the endpoint list: asks for its changes from now on. One {@link
     * DispatcherEvents#endpointListChanged} reports the result.
     */
    void pollEndpointList();

    /**
     * Queries a worker for its load. {@link DispatcherEvents#loadReported} reports the result.
     * Called only if {@link DispatchSettings#allowsLoadQueries}.
     */
    void queryLoad(int workerId);

    /**
     * Informs all other dispatchers that jobs of a class do not start at a worker. Called only if
     * {@link DispatchSettings#allowsPeerMessages}.
     */
    void reportUnresponsive(int workerId, int requestClass);

    /** Closes the connections to a worker that no attempt is using. */
    void closeIdleConnections(int workerId);
}

package cresschute.dispatch;

/** What the module asks of the host. */
public interface DispatcherActions {

    /**
     * Starts the request's next attempt, counted from 0; it ends at {@code deadlineUs} at the
     * latest.
     */
    void send(int requestId, int workerId, long deadlineUs);

    /** Final answer: rejected, and a retry does no harm. Advice of 0 is none. */
    void reject(int requestId, long retryAfterUs);

    /** Final answer: failed; it may or may not have run. */
    void fail(int requestId);

    /** Asks for {@link DispatcherEvents#timerFired} after a delay. */
    void startTimer(long token, long delayUs);

    /**
     * Asks for list changes from now on; answered by one {@link
     * DispatcherEvents#endpointListChanged}.
     */
    void pollEndpointList();

    /** Asks a worker for a sign of life and its load report; only where the host allows it. */
    void queryLoad(int workerId);

    /**
     * Tells all other dispatchers that jobs of a class do not start at a worker; only where
     * allowed.
     */
    void reportUnresponsive(int workerId, int requestClass);

    /** Closes the connections to a worker that no attempt is using now. */
    void closeIdleConnections(int workerId);
}

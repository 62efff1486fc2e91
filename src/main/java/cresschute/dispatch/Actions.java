package cresschute.dispatch;

/** What the module asks of the host. */
public interface Actions {

    /** Starts the request's next attempt, counted from 0; it ends at {@code giveUpUs} at the latest. */
    void send(int requestId, int workerId, long giveUpUs);

    /** Final answer: turned away, and a retry does no harm. Advice of 0 is none. */
    void refuse(int requestId, long retryAfterUs);

    /** Final answer: failed; it may or may not have run. */
    void fail(int requestId);

    /** Asks for {@link Events#woken} after a delay. */
    void wakeAfter(long token, long delayUs);

    /** Asks for list changes from now on; answered by one {@link Events#listed}. */
    void watchList();

    /** Asks a worker for a sign of life and its load report; only where the host allows it. */
    void probe(int workerId);

    /** Tells all other dispatchers that jobs of a class do not start at a worker; only where allowed. */
    void tellSilent(int workerId, int requestClass);

    /** Closes the connections to a worker that no attempt is using now. */
    void closeIdle(int workerId);
}

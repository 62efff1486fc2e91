package cresschute.node;

/**
 * The client's side of a request, implemented by the front that took it. Exactly one of {@link
 * #served}, {@link #localReply}, {@link #failed} and {@link #resultBegins} answers it, unless the
 * client leaves. All calls are on the event loop.
 */
public interface ResponseListener {

    /**
     * Whether the client's connection has ended, also where its end is yet to be read: nobody waits
     * for an answer any more. Asked right before each attempt begins. It may read the connection,
     * so it is not to be called from within the connection's own reading.
     */
    default boolean hasLeft() {
        return false;
    }

    /**
     * For how long reading the client has been paused for lack of capacity. Its leaving is not seen
     * meanwhile, as unread bytes precede the end of its connection.
     *
     * @return microseconds, 0 while it is read
     */
    default long readPausedUs() {
        return 0;
    }

    /** Served with a worker's result. */
    void served(String result);

    /**
     * The answer begins with a result that a worker is still producing. {@link #failed} follows if
     * it breaks, else nothing.
     *
     * @param type the content type that the worker states, or null
     * @param length its length in bytes, or -1 if unknown
     * @return takes the end of the result; null if no long result is allowed
     */
    ResultStream resultBegins(String type, long length);

    /**
     * Rejected by the node itself: a retry does no harm.
     *
     * @param retryAfterUs when to retry, microseconds from now; 0 for no advice
     */
    void localReply(long retryAfterUs);

    /** Failed: it may have run. */
    void failed();
}

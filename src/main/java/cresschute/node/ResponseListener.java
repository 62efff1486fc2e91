package cresschute.node;

/**
 * Receives the answer to a request; implemented by the client listener that received the request.
 * Exactly one of {@link #served}, {@link #localReply}, {@link #failed} and {@link #resultBegins}
 * answers it, unless the client leaves. All calls are on the event loop.
 */
public interface ResponseListener {

    /**
     * Returns true if the client's connection has ended, even if its end has not been read yet;
     * then the client no longer waits for an answer. Called right before each attempt begins. It
     * may read the connection, so do not call it while that connection is being read.
     */
    default boolean hasLeft() {
        return false;
    }

    /**
     * Returns how long reading the client has been paused for lack of capacity. The node cannot
     * detect a disconnect during the pause, because unread bytes precede the end of the connection.
     *
     * @return microseconds; 0 if reading is not paused
     */
    default long readPausedUs() {
        return 0;
    }

    /** The request was served; answers with the worker's result. */
    void served(String result);

    /**
     * The answer begins with a result that a worker is still producing. {@link #failed} follows if
     * the result breaks off, otherwise no further call.
     *
     * @param type the content type that the worker states, or null
     * @param length its length in bytes, or -1 if unknown
     * @return the stream that receives the end of the result; null if no long result is allowed
     */
    ResultStream resultBegins(String type, long length);

    /**
     * The dispatcher or the node rejected the request; a retry does no harm.
     *
     * @param retryAfterUs when to retry, microseconds from now; 0 for no advice
     */
    void localReply(long retryAfterUs);

    /** The request failed; it may have run. */
    void failed();
}

package cresschute.node;

/** A long result that is being passed on to the client of its request. Call from the event loop. */
@FunctionalInterface
public interface ResultStream {

    /** Ignores the end of a result whose client has left. */
    ResultStream DISCARDING = complete -> {};

    /**
     * Ends the result.
     *
     * @param complete whether the node has received all of it from the worker; if not, the answer
     *     to the client must not look complete
     */
    void finish(boolean complete);
}

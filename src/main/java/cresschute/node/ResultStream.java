package cresschute.node;

/** A long result that is being passed on to the client of its request. Call from the event loop. */
@FunctionalInterface
public interface ResultStream {

    /** Ignores the end of a result whose client has left. */
    ResultStream DISCARDING = complete -> {};

    /**
     * Ends the result.
     *
     * @param complete whether the client has received all of it; if not, its answer must not look
     *     complete
     */
    void finish(boolean complete);
}

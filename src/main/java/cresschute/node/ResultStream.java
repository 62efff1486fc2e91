package cresschute.node;

/** A long result on its way to the client of its request. Call from the event loop. */
@FunctionalInterface
public interface ResultStream {

    /** For a result whose client has left. */
    ResultStream DISCARDING = complete -> {};

    /**
     * Nothing more follows.
     *
     * @param complete whether the client has all of it; if not, its answer must not look complete
     */
    void finish(boolean complete);
}

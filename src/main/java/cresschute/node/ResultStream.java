package cresschute.node;

/** A long result on its way to the client of its request. On the loop. */
@FunctionalInterface
public interface ResultStream {

    /** For a result whose client is gone. */
    ResultStream DISCARDING = whole -> {};

    /** No more comes: it is whole, or it must not look so to the client. */
    void finish(boolean whole);
}

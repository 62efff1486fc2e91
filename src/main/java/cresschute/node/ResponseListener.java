package cresschute.node;

/**
 * The client's side of a request, kept by the front that took it: exactly one of these is called,
 * once.
 */
public interface ResponseListener {

    /**
     * Whether its connection has ended, also where that is yet to be read or told: nobody waits any
     * more. Asked right before each attempt begins; it may read the connection, so not from within
     * that one's own reading.
     */
    default boolean hasLeft() {
        return false;
    }

    /**
     * For how long nothing of what it sends has been read, as there was no room, us; 0 while it is
     * read. Its leaving is not seen then: what stands before its end in the connection holds that
     * up.
     */
    default long readPausedUs() {
        return 0;
    }

    /** Served with the result that a worker made for it. */
    void served(String result);

    /**
     * Its answer begins: a result that a worker goes on making. One of the others follows only
     * where it breaks, as {@link #failed}. Null where no long result is expected.
     *
     * @param type what the worker calls its content, or null
     * @param length its bytes, or -1 where that is not known
     */
    ResultStream resultBegins(String type, long length);

    /** A local reply: refused, a retry does no harm. Advice of 0 is none. */
    void localReply(long retryAfterUs);

    /** Failed: it may or may not have run. */
    void failed();
}

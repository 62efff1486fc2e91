package cresschute.node.http;

/**
 * Is notified of the progress and the end of a {@link BodyTransfer}. Of the ends at most one is
 * notified, once. All calls come from the event loop.
 */
interface BodyTransferListener {

    /**
     * The body moves, or waits for its sender: called with the first piece that is written, and
     * again every second or so unless the receiving peer is what it waits for.
     */
    default void transferProgressed() {}

    /** The last byte is written. */
    void transferCompleted();

    /** The rest of the body will not come, or goes to another receiver. */
    void transferAborted();

    /** The receiving peer takes less than the least rate. */
    void peerTooSlow();
}

package cresschute.node.http;

/**
 * Receives the progress and the end of a {@link BodyTransfer}. At most one end is notified, and
 * only once. All calls come from the event loop.
 */
interface BodyTransferListener {

    /**
     * Called when the first piece is written, then about every second while the transfer makes
     * progress or waits for the body's sender. Not called while it waits for the receiving peer.
     */
    default void transferProgressed() {}

    /** Called when the last byte is written. */
    void transferCompleted();

    /** Called when the rest of the body will not arrive, or goes to another receiver. */
    void transferAborted();

    /** Called when the receiving peer reads more slowly than the minimum rate. */
    void peerTooSlow();
}

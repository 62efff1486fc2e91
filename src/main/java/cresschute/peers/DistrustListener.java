package cresschute.peers;

/** Notified when a peer becomes distrusted, on the exchange's thread. */
@FunctionalInterface
public interface DistrustListener {

    /**
     * Called when a peer becomes distrusted.
     *
     * @param sender hash of the peer's name
     * @param durationUs how long the peer is distrusted, microseconds
     */
    void distrusted(int sender, long durationUs);
}

package cresschute.peers;

/** Is notified that a peer is distrusted; on the exchange's thread. */
@FunctionalInterface
public interface DistrustListener {

    /**
     * A peer is distrusted.
     *
     * @param sender hash of its name
     * @param durationUs for how long, microseconds
     */
    void distrusted(int sender, long durationUs);
}

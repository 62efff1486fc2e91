package cresschute.peers;

/** Notified of events that operators should know of, on the exchange's thread. */
public interface ExchangeListener extends DistrustListener {

    /**
     * Called when two listed workers have the same key, so that the load of both has to be queried.
     */
    void keyCollision(String worker, String other);
}

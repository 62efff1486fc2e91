package cresschute.peers;

/** Is notified of what operators should know; on the exchange's thread. */
public interface ExchangeListener extends DistrustListener {

    /** Two listed workers have the same key, so the load of both has to be queried. */
    void keyCollision(String worker, String other);
}

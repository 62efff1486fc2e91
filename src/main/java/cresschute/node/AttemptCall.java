package cresschute.node;

import cresschute.dispatch.Outcome;

/**
 * A handle on an attempt in flight, returned by {@link WorkerClient#attempt} and valid until the
 * attempt ends. Call from the event loop.
 */
public interface AttemptCall {

    /**
     * Cancels the attempt and closes its connection. The attempt's listener is not notified of an
     * end.
     *
     * @return the outcome of the attempt
     */
    Outcome abort();

    /**
     * Returns whether a byte of the attempt may be on the wire.
     *
     * @return false while cancelling the attempt guarantees that the worker received nothing of it
     */
    default boolean hasBegun() {
        return true;
    }

    /**
     * Returns true if the first byte may be on the wire and the last byte of a request that is sent
     * whole is not yet: the job cannot have run.
     */
    default boolean isPartlyWritten() {
        return false;
    }
}

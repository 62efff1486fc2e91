package cresschute.node;

import cresschute.dispatch.Outcome;

/**
 * An attempt in flight, as the worker client hands it to its caller. Lives from {@link
 * WorkerClient#attempt} to the end of the attempt. Call from the event loop.
 */
public interface AttemptCall {

    /**
     * Cancels the attempt and closes its connection. The attempt's listener is not notified of an
     * end.
     *
     * @return how the attempt ended by this
     */
    Outcome abort();

    /**
     * Whether a byte of the attempt may be on the wire.
     *
     * @return false as long as cancelling it proves that the worker never saw it
     */
    default boolean hasBegun() {
        return true;
    }
}

package cresschute.health;

import cresschute.dispatch.WorkerState;

/**
 * What the endpoint list and the operators state about a worker.
 *
 * @param state its state on the endpoint list
 * @param drainedByOperator whether an operator drains it
 * @param processStartUs when its process started, microseconds; 0 where that is unknown. Another
 *     value than before means another process.
 */
public record WorkerListing(WorkerState state, boolean drainedByOperator, long processStartUs) {

    /** A worker that got a job before the endpoint list mentioned it. */
    static final WorkerListing UNLISTED = new WorkerListing(WorkerState.READY, false, 0);
}

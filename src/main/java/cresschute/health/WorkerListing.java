package cresschute.health;

import cresschute.dispatch.WorkerState;

/**
 * The state of a worker as set by the endpoint list and the operators.
 *
 * @param state the worker's state in the endpoint list
 * @param drainedByOperator whether an operator drains the worker
 * @param processStartUs when the worker's process started, microseconds; 0 if unknown. A changed
 *     value means that the process was restarted.
 */
public record WorkerListing(WorkerState state, boolean drainedByOperator, long processStartUs) {

    /** The listing of a worker that was sent a job before it appeared in the endpoint list. */
    static final WorkerListing UNLISTED = new WorkerListing(WorkerState.READY, false, 0);
}

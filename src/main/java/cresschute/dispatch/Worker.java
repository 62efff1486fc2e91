package cresschute.dispatch;

/**
 * One entry of the endpoint list.
 *
 * @param id number of the worker, the same after each restart of its process
 * @param zone zone of the worker, from 0
 * @param kind kind of the worker, from 0
 * @param cell cell of the worker: the workers of a cell share stored results; see {@link
 *     DeduplicationScope#CELL}
 * @param state state of the worker, which determines whether new attempts may be sent to it
 * @param weight weight of the worker, as defined by {@link WeightSource}; 0 if none is listed
 * @param startedAtUs start time of the worker's process, us on the dispatcher's clock; {@link
 *     #STARTED_LONG_AGO} if it is unknown or long past
 */
public record Worker(
        int id, int zone, int kind, int cell, WorkerState state, double weight, long startedAtUs) {

    /** The {@code startedAtUs} of a worker that is not warming up. */
    public static final long STARTED_LONG_AGO = 0;
}

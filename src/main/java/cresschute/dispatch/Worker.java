package cresschute.dispatch;

/**
 * One entry of the endpoint list.
 *
 * @param id number of the worker, the same for all its incarnations
 * @param zone its zone, from 0
 * @param kind its kind, from 0
 * @param cell the cell of workers that keep stored results together; see {@link
 *     DeduplicationScope#CELL}
 * @param state whether new attempts may go to it
 * @param weight its weight by {@link WeightSource}; 0 where none is listed
 * @param startedAtUs when this incarnation started, us on the dispatcher's clock; {@link
 *     #STARTED_LONG_AGO} where it is not known or long past
 */
public record Worker(
        int id, int zone, int kind, int cell, WorkerState state, double weight, long startedAtUs) {

    /** The {@code startedAtUs} of a worker that is warm. */
    public static final long STARTED_LONG_AGO = 0;
}

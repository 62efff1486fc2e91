package cresschute.dispatch;

/**
 * A worker's load, as it reported it some time ago. A negative value was not reported.
 *
 * @param freeSlots slots without a job
 * @param outstanding requests at the worker, waiting ones included
 * @param waiting requests that wait for a slot
 */
public record LoadReport(double freeSlots, double outstanding, double waiting) {

    /** The report of a worker that reported nothing. */
    public static final LoadReport NONE = new LoadReport(-1, -1, -1);
}

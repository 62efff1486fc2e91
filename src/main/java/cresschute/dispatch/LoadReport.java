package cresschute.dispatch;

/**
 * The load that a worker reported some time ago. A negative value means that the worker did not
 * report it.
 *
 * @param freeSlots slots without a job
 * @param outstanding requests at the worker, including waiting ones
 * @param waiting requests that wait for a slot
 */
public record LoadReport(double freeSlots, double outstanding, double waiting) {

    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(-1, -1, -1);
}

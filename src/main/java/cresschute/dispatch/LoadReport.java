package cresschute.dispatch;

/**
 * What came along of a worker's load, some while old. A negative value was not told.
 *
 * @param freeSlots slots that no job held
 * @param outstanding requests that it held, waiting ones included
 * @param waiting requests that waited for a slot
 */
public record LoadReport(double freeSlots, double outstanding, double waiting) {

    /** Nothing came along. */
    public static final LoadReport NONE = new LoadReport(-1, -1, -1);
}

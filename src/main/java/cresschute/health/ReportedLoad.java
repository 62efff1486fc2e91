package cresschute.health;

import cresschute.dispatch.LoadReport;

/**
 * The load that a worker last reported.
 *
 * @param queued jobs in the worker's queue; negative if not reported
 * @param freeSlots free job slots; negative if not reported
 * @param receivedUs when the report was received, microseconds
 */
public record ReportedLoad(double queued, double freeSlots, long receivedUs) {

    /** Used if the worker has not reported its load; console rows show -1, -1 and 0. */
    public static final ReportedLoad NONE = new ReportedLoad(-1, -1, 0);

    /** Returns the load of a report, or this load if the report has none. */
    ReportedLoad updatedBy(long nowUs, LoadReport report) {
        return report.freeSlots() >= 0 || report.waiting() >= 0
                ? new ReportedLoad(report.waiting(), report.freeSlots(), nowUs)
                : this;
    }

    /** Returns whether the report is younger than {@code maxAgeUs}. */
    boolean isFresh(long nowUs, long maxAgeUs) {
        return nowUs - receivedUs < maxAgeUs && receivedUs > 0;
    }

    /** Returns whether no slot is free and jobs are queued. */
    boolean isFull() {
        return freeSlots >= 0 && freeSlots < 1 && queued > 0;
    }
}

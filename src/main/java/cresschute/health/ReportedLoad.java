package cresschute.health;

import cresschute.dispatch.LoadReport;

/**
 * The load that a worker last reported.
 *
 * @param queued jobs in its queue; negative where the report does not say
 * @param freeSlots free job slots; negative where the report does not say
 * @param receivedUs when the report came, microseconds
 */
public record ReportedLoad(double queued, double freeSlots, long receivedUs) {

    /** The worker has reported nothing; console rows show it as -1, -1 and 0. */
    public static final ReportedLoad NONE = new ReportedLoad(-1, -1, 0);

    /** The load of a report, or the one known before where the report has no load. */
    ReportedLoad updatedBy(long nowUs, LoadReport report) {
        return report.freeSlots() >= 0 || report.waiting() >= 0
                ? new ReportedLoad(report.waiting(), report.freeSlots(), nowUs)
                : this;
    }

    /** Whether the report is younger than {@code maxAgeUs}. */
    boolean isFresh(long nowUs, long maxAgeUs) {
        return nowUs - receivedUs < maxAgeUs && receivedUs > 0;
    }

    /** Whether no slot is free and jobs wait. */
    boolean isFull() {
        return freeSlots >= 0 && freeSlots < 1 && queued > 0;
    }
}

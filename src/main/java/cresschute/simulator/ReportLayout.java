package cresschute.simulator;

import cresschute.dispatch.LoadReport;

/**
 * The positions of the known values in an instance's load reports.
 *
 * @param freeSlotsAt position of the free slots, from 0, or {@link #MISSING}
 * @param outstandingAt position of the outstanding requests, or {@link #MISSING}
 * @param waitingAt position of the waiting requests, or {@link #MISSING}
 */
record ReportLayout(int freeSlotsAt, int outstandingAt, int waitingAt) {

    /** Position of a value that the reports do not contain. */
    static final int MISSING = -1;

    /** Reads the next load report. A value that it does not contain is negative. */
    LoadReport read(FrameReader reader) {
        final int count = reader.u8();
        double freeSlots = LoadReport.NONE.freeSlots();
        double outstanding = LoadReport.NONE.outstanding();
        double waiting = LoadReport.NONE.waiting();
        for (int i = 0; i < count; i++) {
            final float value = reader.f32();
            freeSlots = i == freeSlotsAt ? value : freeSlots;
            outstanding = i == outstandingAt ? value : outstanding;
            waiting = i == waitingAt ? value : waiting;
        }
        return new LoadReport(freeSlots, outstanding, waiting);
    }
}

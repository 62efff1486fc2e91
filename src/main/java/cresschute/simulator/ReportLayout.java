package cresschute.simulator;

import cresschute.dispatch.LoadReport;

/** Where the known values stand in an instance's load reports; -1 where they do not. */
record ReportLayout(int freeSlotsAt, int outstandingAt, int waitingAt) {

    LoadReport read(FrameReader reader) {
        final int count = reader.u8();
        double freeSlots = -1;
        double outstanding = -1;
        double waiting = -1;
        for (int i = 0; i < count; i++) {
            final float value = reader.f32();
            freeSlots = i == freeSlotsAt ? value : freeSlots;
            outstanding = i == outstandingAt ? value : outstanding;
            waiting = i == waitingAt ? value : waiting;
        }
        return new LoadReport(freeSlots, outstanding, waiting);
    }
}

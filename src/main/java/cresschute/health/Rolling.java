package cresschute.health;

import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Times of the last so many slices of time, as one histogram a slice that is used again when its
 * time has passed. One significant digit: a figure is at most a sixteenth off. Times are
 * milliseconds up to an hour; longer ones count as an hour. A histogram grows with the largest time
 * in it, to about 1 KiB at an hour.
 */
final class Rolling {

    private static final long MAX_MS = 3_600_000;
    private static final long US_A_MS = 1_000;

    private final long sliceUs;
    private final IntCountsHistogram[] slices;

    /** The slice of time that each histogram is of. */
    private final long[] of;

    Rolling(long sliceUs, int count) {
        this.sliceUs = sliceUs;
        slices = new IntCountsHistogram[count];
        of = new long[count];
    }

    void add(long nowUs, long elapsedUs) {
        final long slice = nowUs / sliceUs;
        final int at = (int) (slice % slices.length);
        if (slices[at] == null) {
            slices[at] = new IntCountsHistogram(1);
        } else if (of[at] != slice) {
            slices[at].reset();
        }
        of[at] = slice;
        slices[at].recordValue(Math.min(MAX_MS, Math.max(0, elapsedUs / US_A_MS)));
    }

    /** Adds all that is not too old to a histogram, which is the caller's. */
    void addTo(AbstractHistogram sum, long nowUs) {
        final long oldest = nowUs / sliceUs - slices.length + 1;
        for (int i = 0; i < slices.length; i++) {
            if (slices[i] != null && of[i] >= oldest && slices[i].getTotalCount() > 0) {
                sum.add(slices[i]);
            }
        }
    }
}

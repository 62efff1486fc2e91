package cresschute.health;

import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Latencies in a sliding window, with one histogram for each time slice. A histogram is reset and
 * reused once its slice has left the window. Values are stored in milliseconds with one significant
 * digit, so a percentile has a relative error of at most 1/16. Values above an hour are recorded as
 * an hour. A histogram grows with its largest value, up to about 1 KiB for one hour. Not
 * thread-safe.
 */
final class LatencyWindow {

    private static final long MAX_MS = 3_600_000;
    private static final long US_PER_MS = 1_000;

    private final long sliceUs;

    /** Created on first use: most workers serve few jobs. */
    private final IntCountsHistogram[] histograms;

    /** Slice number of each histogram, counted from time 0. */
    private final long[] sliceNumbers;

    /**
     * Creates an empty window.
     *
     * @param sliceUs length of a slice, microseconds
     * @param slices number of slices
     */
    LatencyWindow(long sliceUs, int slices) {
        this.sliceUs = sliceUs;
        histograms = new IntCountsHistogram[slices];
        sliceNumbers = new long[slices];
    }

    /** Records a latency in the current slice. */
    void add(long nowUs, long latencyUs) {
        final long slice = nowUs / sliceUs;
        final int index = (int) (slice % histograms.length);
        if (histograms[index] == null) {
            histograms[index] = new IntCountsHistogram(1);
        } else if (sliceNumbers[index] != slice) {
            histograms[index].reset();
        }
        sliceNumbers[index] = slice;
        histograms[index].recordValue(Math.min(MAX_MS, Math.max(0, latencyUs / US_PER_MS)));
    }

    /** Adds all values in the window, in milliseconds, to a histogram. */
    void addTo(AbstractHistogram sum, long nowUs) {
        final long oldestSlice = nowUs / sliceUs - histograms.length + 1;
        for (int i = 0; i < histograms.length; i++) {
            if (histograms[i] != null
                    && sliceNumbers[i] >= oldestSlice
                    && histograms[i].getTotalCount() > 0) {
                sum.add(histograms[i]);
            }
        }
    }

    /**
     * Returns the percentiles of the values in the window.
     *
     * @param scratch a histogram that is overwritten
     */
    LatencyPercentiles percentiles(long nowUs, AbstractHistogram scratch) {
        scratch.reset();
        addTo(scratch, nowUs);
        return scratch.getTotalCount() == 0
                ? LatencyPercentiles.NONE
                : new LatencyPercentiles(
                        scratch.getValueAtPercentile(50), scratch.getValueAtPercentile(99));
    }
}

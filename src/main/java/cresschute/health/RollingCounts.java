package cresschute.health;

import java.util.Arrays;

/**
 * Counts events in a sliding window that is divided into slices of equal length. The window ends
 * with the current slice, so it covers the last {@code slices - 1} slices and the elapsed part of
 * the current one. Not thread-safe.
 */
final class RollingCounts {

    private final long sliceUs;
    private final double[] counts;

    /** Number of the newest slice, counted from time 0. */
    private long newestSlice = Long.MIN_VALUE;

    /**
     * Creates an empty window.
     *
     * @param sliceUs length of a slice, microseconds
     * @param slices number of slices
     */
    RollingCounts(long sliceUs, int slices) {
        this.sliceUs = sliceUs;
        counts = new double[slices];
    }

    /** Adds an amount to the current slice. */
    void add(long nowUs, double amount) {
        advance(nowUs);
        counts[(int) (newestSlice % counts.length)] += amount;
    }

    /** Returns the sum over the window. */
    double sum(long nowUs) {
        advance(nowUs);
        return Arrays.stream(counts).sum();
    }

    /** Returns the counts of all slices, oldest first; the last one is the current slice. */
    int[] perSlice(long nowUs) {
        advance(nowUs);
        final int[] perSlice = new int[counts.length];
        for (int i = 0; i < perSlice.length; i++) {
            perSlice[i] = (int) counts[(int) ((newestSlice + 1 + i) % counts.length)];
        }
        return perSlice;
    }

    /** Clears the slices that begin between the last call and now. */
    private void advance(long nowUs) {
        final long slice = nowUs / sliceUs;
        if (newestSlice < slice - counts.length) {
            Arrays.fill(counts, 0);
            newestSlice = slice;
        }
        while (newestSlice < slice) {
            newestSlice++;
            counts[(int) (newestSlice % counts.length)] = 0;
        }
    }
}

package cresschute.health;

import java.util.Arrays;

/** How often something happened in each of the last slices of time. */
final class Counts {

    private final long sliceUs;
    private final double[] counts;
    private long newest = Long.MIN_VALUE;

    Counts(long sliceUs, int slices) {
        this.sliceUs = sliceUs;
        counts = new double[slices];
    }

    void add(long nowUs, double amount) {
        roll(nowUs);
        counts[(int) (newest % counts.length)] += amount;
    }

    private void roll(long nowUs) {
        final long slice = nowUs / sliceUs;
        if (newest < slice - counts.length) {
            Arrays.fill(counts, 0);
            newest = slice;
        }
        while (newest < slice) {
            newest++;
            counts[(int) (newest % counts.length)] = 0;
        }
    }

    double sum(long nowUs) {
        roll(nowUs);
        return Arrays.stream(counts).sum();
    }

    /** Slice by slice, the oldest first; the newest is not over yet. */
    int[] each(long nowUs) {
        roll(nowUs);
        final int[] each = new int[counts.length];
        for (int i = 0; i < each.length; i++) {
            each[i] = (int) counts[(int) ((newest + 1 + i) % counts.length)];
        }
        return each;
    }
}

package cresschute.capacity;

/**
 * A value estimated from fits.
 *
 * @param value the value
 * @param halfWidth half the width of its interval, combined from the intervals of the base and the
 *     slopes as if these were independent
 * @param extrapolated whether a size lies outside the measured range
 */
public record Estimate(double value, double halfWidth, boolean extrapolated) {}

package cresschute.capacity;

/**
 * A value estimated from fits.
 *
 * @param value the value
 * @param halfWidth half the width of its interval, from those of the base and the slopes, as if
 *     independent
 * @param extrapolated whether a size lies outside those that were measured
 */
public record Estimate(double value, double halfWidth, boolean extrapolated) {}

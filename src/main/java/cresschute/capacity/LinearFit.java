package cresschute.capacity;

import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line fitted to measured points by least squares.
 *
 * @param intercept the value at size 0
 * @param slope the change of the value for one unit of the size
 * @param slopeHalfWidth half the width of the slope's 95 % confidence interval, by Student's
 *     distribution
 * @param meanHalfWidth half the width of the 95 % confidence interval of the line at the mean size
 * @param rSquared the fraction of the values' variance that the line explains; NaN if they have
 *     none
 * @param points number of points
 * @param minSize the smallest size that was measured
 * @param maxSize the largest size that was measured
 */
public record LinearFit(
        double intercept,
        double slope,
        double slopeHalfWidth,
        double meanHalfWidth,
        double rSquared,
        int points,
        double minSize,
        double maxSize) {

    /** Probability that a slope lies outside its confidence interval. */
    private static final double SIGNIFICANCE = 0.05;

    /** Minimum number of points: with two, the slope has no confidence interval. */
    private static final int MIN_POINTS = 3;

    /** One measured value at one size. */
    public record Point(double size, double value) {}

    /** Fits a line; empty if there are fewer than three points or all have the same size. */
    public static Optional<LinearFit> of(List<Point> points) {
        if (points.size() < MIN_POINTS
                || points.stream().mapToDouble(Point::size).distinct().count() < 2) {
            return Optional.empty();
        }
        final SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.value()));
        return Optional.of(
                new LinearFit(
                        regression.getIntercept(),
                        regression.getSlope(),
                        halfWidth(regression),
                        meanHalfWidth(regression),
                        regression.getRSquare(),
                        points.size(),
                        points.stream().mapToDouble(Point::size).min().orElseThrow(),
                        points.stream().mapToDouble(Point::size).max().orElseThrow()));
    }

    private static double halfWidth(SimpleRegression regression) {
        return regression.getSlopeStdErr() == 0
                ? 0
                : regression.getSlopeConfidenceInterval(SIGNIFICANCE);
    }

    /**
     * The interval of the slope, scaled from the standard error of the slope to that of the mean.
     */
    private static double meanHalfWidth(SimpleRegression regression) {
        final double meanError = Math.sqrt(regression.getMeanSquareError() / regression.getN());
        return regression.getSlopeStdErr() == 0
                ? 0
                : halfWidth(regression) / regression.getSlopeStdErr() * meanError;
    }

    /** The line's value at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }

    /** Returns whether a size lies outside the measured range. */
    public boolean extrapolates(double size) {
        return size < minSize || size > maxSize;
    }
}

package cresschute.capacity;

import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept the value at size 0
 * @param slope the change of the value for one unit of the size
 * @param slopeHalfWidth half the width of the slope's 95 % confidence interval, by Student's
 *     distribution
 * @param meanHalfWidth half the width of the 95 % confidence interval of the line at the mean size
 * @param rSquared the share of the values' variance that the line explains; NaN where there is none
 * @param points how many points it goes through
 * @param minSize the least size that was measured
 * @param maxSize the greatest size that was measured
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

    /** The chance that a slope lies outside its interval. */
    private static final double SIGNIFICANCE = 0.05;

    /** Points below which the slope has no interval: two of them fix the line. */
    private static final int MIN_POINTS = 3;

    /** One measured value at one size. */
    public record Point(double size, double value) {}

    /**
     * The line through these points; nothing where they are fewer than three or all of one size.
     */
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

    /** Whether a size lies outside those that were measured. */
    public boolean extrapolates(double size) {
        return size < minSize || size > maxSize;
    }
}

package cresschute.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.util.Locale;

/** Formats numbers for the page. */
final class Figures {

    static final String NOT_MEASURED = "not measured";
    private static final String NONE = "-";
    private static final int DIGITS = 3;

    /** Numbers from this value on round to 1,000 or more and are written as integers. */
    private static final double INTEGER_FROM = 999.5;

    /** A figure below this value is a rounding error of the arithmetic. */
    private static final double ZERO_BELOW = 1e-12;

    private Figures() {}

    /** Formats with three significant digits, or as an integer from 1,000 on. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return NONE;
        }
        if (Math.abs(value) < ZERO_BELOW) {
            return "0";
        }
        if (Math.abs(value) >= INTEGER_FROM) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        final BigDecimal rounded =
                new BigDecimal(value)
                        .round(new MathContext(DIGITS, RoundingMode.HALF_EVEN))
                        .stripTrailingZeros();
        return rounded.scale() < 0 ? rounded.setScale(0).toPlainString() : rounded.toPlainString();
    }

    /** Formats a cost divided by its limit. */
    static String ratio(double ratio) {
        return Double.isInfinite(ratio) ? "over a limit of 0" : number(ratio);
    }

    /** Formats a value with its interval, marked if a size lies outside the measured ones. */
    static String estimate(Estimate estimate) {
        return number(estimate.value())
                + " ± "
                + number(estimate.halfWidth())
                + (estimate.extrapolated() ? " (extrapolated)" : "");
    }

    /** Formats a slope with the bounds of its interval. */
    static String interval(LinearFit fit) {
        return number(fit.slope())
                + " ("
                + number(fit.slope() - fit.slopeHalfWidth())
                + " to "
                + number(fit.slope() + fit.slopeHalfWidth())
                + ")";
    }
}

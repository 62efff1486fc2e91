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

    /** From here on numbers are written as integers: they round to 1,000 or more. */
    private static final double INTEGER_FROM = 999.5;

    /** Below this a figure is rounding error of the arithmetic. */
    private static final double ZERO_BELOW = 1e-12;

    private Figures() {}

    /** Three significant digits, or all digits of an integer from 1,000 on. */
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

    /** A cost divided by its limit. */
    static String ratio(double ratio) {
        return Double.isInfinite(ratio) ? "over a limit of 0" : number(ratio);
    }

    /** A value with its interval, marked where it lies outside the measured sizes. */
    static String estimate(Estimate estimate) {
        return number(estimate.value())
                + " ± "
                + number(estimate.halfWidth())
                + (estimate.extrapolated() ? " (extrapolated)" : "");
    }

    /** The bounds of a slope's interval. */
    static String interval(LinearFit fit) {
        return number(fit.slope())
                + " ("
                + number(fit.slope() - fit.slopeHalfWidth())
                + " to "
                + number(fit.slope() + fit.slopeHalfWidth())
                + ")";
    }
}

package cresschute.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fits to data whose line is known. */
class LinearFitTest {

    /** The Norris data of NIST's Statistical Reference Datasets: y, x. */
    private static final double[] NORRIS = {
        0.1, 0.2, 338.8, 337.4, 118.1, 118.2, 888.0, 884.6, 9.2, 10.1, 228.1, 226.5, 668.5, 666.3,
        998.5, 996.3, 449.1, 448.6, 778.9, 777.0, 559.2, 558.2, 0.3, 0.4, 0.1, 0.6, 778.1, 775.5,
        668.8, 666.9, 339.3, 338.0, 448.9, 447.5, 10.8, 11.6, 557.7, 556.0, 228.3, 228.1, 998.0,
                995.8,
        888.8, 887.6, 119.6, 120.2, 0.3, 0.3, 0.6, 0.3, 557.6, 556.8, 339.3, 339.1, 888.0, 887.2,
        998.5, 999.0, 778.9, 779.0, 10.2, 11.1, 117.6, 118.3, 228.9, 229.2, 668.4, 669.1, 449.2,
                448.9,
        0.2, 0.5
    };

    private static List<LinearFit.Point> points(double... sizesAndValues) {
        final List<LinearFit.Point> points = new ArrayList<>();
        for (int i = 0; i < sizesAndValues.length; i += 2) {
            points.add(new LinearFit.Point(sizesAndValues[i], sizesAndValues[i + 1]));
        }
        return points;
    }

    @Test
    void matchesCertifiedFitOfNorrisData() {
        final List<LinearFit.Point> points = new ArrayList<>();
        for (int i = 0; i < NORRIS.length; i += 2) {
            points.add(new LinearFit.Point(NORRIS[i + 1], NORRIS[i]));
        }
        final LinearFit fit = LinearFit.of(points).orElseThrow();
        assertThat(fit.points()).isEqualTo(36);
        assertThat(fit.intercept()).isCloseTo(-0.262323073774029, within(1e-10));
        assertThat(fit.slope()).isCloseTo(1.00211681802045, within(1e-12));
        assertThat(fit.rSquared()).isCloseTo(0.999993745883712, within(1e-12));
        // The certified standard error of the slope times the 97.5 % quantile of Student's t, 34
        // degrees.
        assertThat(fit.slopeHalfWidth())
                .isCloseTo(0.429796848199937e-3 * 2.0322445093, within(1e-11));
        // The certified residual standard deviation over the root of 36, times the same quantile.
        assertThat(fit.meanHalfWidth())
                .isCloseTo(0.884796396144373 / 6 * 2.0322445093, within(1e-9));
    }

    @Test
    void exactLineHasZeroConfidenceInterval() {
        final LinearFit fit = LinearFit.of(points(100, 5, 200, 7, 400, 11)).orElseThrow();
        assertThat(fit.at(1_400)).isCloseTo(31, within(1e-9));
        assertThat(fit.slopeHalfWidth()).isCloseTo(0, within(1e-9));
        assertThat(fit.extrapolates(1_400)).isTrue();
        assertThat(fit.extrapolates(400)).isFalse();
        assertThat(fit.minSize()).isEqualTo(100);
    }

    @Test
    void fitsZeroSlopeToConstantValues() {
        final LinearFit fit = LinearFit.of(points(1, 4, 2, 4, 3, 4)).orElseThrow();
        assertThat(fit.slope()).isZero();
        assertThat(fit.slopeHalfWidth()).isZero();
        assertThat(fit.at(1e6)).isEqualTo(4);
    }

    @Test
    void givesNoFitForTooFewPointsOrOneSize() {
        assertThat(LinearFit.of(List.of())).isEmpty();
        assertThat(LinearFit.of(points(1, 1, 2, 2))).isEmpty();
        assertThat(LinearFit.of(points(5, 1, 5, 2, 5, 3))).isEmpty();
    }
}

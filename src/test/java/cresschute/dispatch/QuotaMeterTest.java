package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks which arrivals are within a tenant's quota. */
class QuotaMeterTest {

    @Test
    void allowsThreeArrivalsAtOnceForSmallQuota() {
        final QuotaMeter meter = new QuotaMeter(0.5 / 1e6);
        meter.take(60 * SECOND, 0);
        for (int i = 0; i < 3; i++) {
            assertThat(meter.take(60 * SECOND, 1)).isTrue();
        }
        assertThat(meter.take(60 * SECOND, 1)).isFalse();
    }

    @Test
    void refillsAtQuotaRateUpToTwoSeconds() {
        final QuotaMeter meter = new QuotaMeter(10 / 1e6);
        assertThat(meter.take(3_600 * SECOND, 20)).isTrue();
        assertThat(meter.take(3_600 * SECOND, 1)).isFalse();
        assertThat(meter.take(3_600 * SECOND + 99_999, 1)).isFalse();
        assertThat(meter.take(3_600 * SECOND + 100_001, 1)).isTrue();
        assertThat(meter.take(3_600 * SECOND + 100_001, 1)).isFalse();
    }

    @Test
    void givesEachDispatcherOneAndAHalfTimesItsEvenShare() {
        final QuotaMeter meter = QuotaMeter.of(new Tenant("a", 40), 3);
        assertThat(meter.take(3_600 * SECOND, 40)).isTrue();
        assertThat(meter.take(3_600 * SECOND, 1)).isFalse();
    }

    @Test
    void takesNoTokensForRetry() {
        final QuotaMeter meter = new QuotaMeter(0.5 / 1e6);
        for (int i = 0; i < 10; i++) {
            assertThat(meter.take(3_600 * SECOND, 0)).isTrue();
        }
    }
}

package cresschute.dispatch;

import static cresschute.dispatch.RecordingActions.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is within a tenant's quota. */
class QuotaMeterTest {

    @Test
    void takesThreeArrivalsAtOnceForWithinARareTenantsQuota() {
        final QuotaMeter meter = new QuotaMeter(0.5 / 1e6);
        meter.take(60 * SECOND, 0);
        for (int i = 0; i < 3; i++) {
            assertThat(meter.take(60 * SECOND, 1)).isTrue();
        }
        assertThat(meter.take(60 * SECOND, 1)).isFalse();
    }
}

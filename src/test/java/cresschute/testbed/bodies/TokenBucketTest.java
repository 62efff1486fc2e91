package cresschute.testbed.bodies;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that tokens accrue at a constant rate up to the burst. */
class TokenBucketTest {

    private static final long MS = 1_000_000;
    private final TokenBucket bucket = new TokenBucket(1_000, 100, 0);

    @Test
    void grantsBurstThenRate() {
        assertThat(bucket.take(500, 0)).isEqualTo(100);
        assertThat(bucket.take(500, 0)).isZero();
        assertThat(bucket.nsUntilAvailable(10)).isEqualTo(10 * MS);
        assertThat(bucket.take(500, 10 * MS)).isEqualTo(10);
        // The wait never exceeds the time to fill the bucket.
        assertThat(bucket.nsUntilAvailable(500)).isEqualTo(100 * MS);
        // Unused tokens do not accumulate beyond the burst.
        assertThat(bucket.take(500, 60_000 * MS)).isEqualTo(100);
    }

    @Test
    void zeroRateIsUnlimited() {
        final TokenBucket full = new TokenBucket(0, 0, 0);
        assertThat(full.take(1 << 30, 0)).isEqualTo(1 << 30);
        assertThat(full.nsUntilAvailable(1)).isZero();
    }
}

package cresschute.testbed.bodies;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Bytes come free at an even rate. */
class TokenBucketTest {

    private static final long MS = 1_000_000;
    private final TokenBucket bucket = new TokenBucket(1_000, 100, 0);

    @Test
    void grantsBurstThenRate() {
        assertThat(bucket.take(500, 0)).isEqualTo(100);
        assertThat(bucket.take(500, 0)).isZero();
        assertThat(bucket.nsUntilAvailable(10)).isEqualTo(10 * MS);
        assertThat(bucket.take(500, 10 * MS)).isEqualTo(10);
        // Nobody waits for more than can ever be free.
        assertThat(bucket.nsUntilAvailable(500)).isEqualTo(100 * MS);
        // What is not taken for long does not add up.
        assertThat(bucket.take(500, 60_000 * MS)).isEqualTo(100);
    }

    @Test
    void zeroRateIsUnlimited() {
        final TokenBucket full = new TokenBucket(0, 0, 0);
        assertThat(full.take(1 << 30, 0)).isEqualTo(1 << 30);
        assertThat(full.nsUntilAvailable(1)).isZero();
    }
}

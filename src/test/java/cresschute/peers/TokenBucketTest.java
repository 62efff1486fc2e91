package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the token bucket that limits the byte rate of gossip. */
class TokenBucketTest {

    private static final long S = 1_000_000;
    private final TokenBucket bucket = new TokenBucket(1_000, 100 * S);

    @Test
    void startsEmptyAndRefillsAtConstantRate() {
        assertThat(bucket.available(100 * S)).isZero();
        assertThat(bucket.available(100 * S + S / 4)).isEqualTo(250);
        assertThat(bucket.available(100 * S + S / 2)).isEqualTo(500);
    }

    @Test
    void holdsAtMostOneSecondOfBytes() {
        assertThat(bucket.available(200 * S)).isEqualTo(1_000);
        bucket.take(400);
        assertThat(bucket.available(200 * S)).isEqualTo(600);
    }

    @Test
    void keepsFractionsOfBytes() {
        long taken = 0;
        for (long nowUs = 100 * S; nowUs <= 103 * S; nowUs += 333) {
            final long available = bucket.available(nowUs);
            bucket.take(available);
            taken += available;
        }
        assertThat(taken).isBetween(2_998L, 3_000L);
    }

    @Test
    void addsNothingWhenClockGoesBackwards() {
        assertThat(bucket.available(101 * S)).isEqualTo(1_000);
        bucket.take(1_000);
        assertThat(bucket.available(100 * S)).isZero();
        assertThat(bucket.available(101 * S)).isZero();
    }
}

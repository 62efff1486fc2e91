package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when workers are contradicted, peers distrusted and claims verified. */
class ClaimValidatorTest {

    private static final long S = 1_000_000;
    private static final int FAULTY = 7;
    private static final int CORRECT = 8;
    private final ClaimValidator validator = new ClaimValidator();
    private long nowUs = 100 * S;

    private void compare(int key, int viewed, double reported) {
        assertThat(validator.compare(nowUs, key, viewed, reported, Map.of(FAULTY, viewed)))
                .isEmpty();
    }

    @Test
    void viewMayExceedAReportByTheMargin() {
        compare(1, 4, 0);
        compare(2, 15, 10);
        assertThat(validator.isContradicted(nowUs, 1)).isFalse();
        assertThat(validator.isContradicted(nowUs, 2)).isFalse();
        compare(1, 5, 0);
        compare(2, 16, 10);
        assertThat(validator.isContradicted(nowUs, 1)).isTrue();
        assertThat(validator.isContradicted(nowUs, 2)).isTrue();
    }

    @Test
    void contradictionEndsAfterAMinuteOrByAReportThatAgrees() {
        compare(1, 50, 0);
        compare(2, 50, 0);
        compare(1, 50, 49);
        assertThat(validator.isContradicted(nowUs, 1)).isFalse();
        assertThat(validator.isContradicted(nowUs + 60 * S - 1, 2)).isTrue();
        assertThat(validator.isContradicted(nowUs + 60 * S, 2)).isFalse();
    }

    @Test
    void largestClaimantIsDistrustedOnceMostOfTheWindowExceeds() {
        for (int i = 0; i < ClaimValidator.WINDOW_SIZE - 1; i++) {
            assertThat(validator.compare(nowUs, i, 30, i < 7 ? 30 : 0, claims())).isEmpty();
        }
        assertThat(validator.compare(nowUs, 99, 30, 0, claims())).hasValue(FAULTY);
        assertThat(validator.compare(nowUs, 99, 30, 0, claims()))
                .as("the window was cleared")
                .isEmpty();
    }

    private static Map<Integer, Integer> claims() {
        return Map.of(FAULTY, 28, CORRECT, 2);
    }

    @Test
    void workersWithoutClaimsAreNotCompared() {
        assertThat(validator.compare(nowUs, 1, 50, 0, Map.of())).isEmpty();
        assertThat(validator.isContradicted(nowUs, 1)).isFalse();
        assertThat(validator.shouldVerify(nowUs, 1, 0)).isFalse();
    }

    @Test
    void oneInThirtyTwoLookupsIsVerified() {
        for (int i = 1; i < ClaimValidator.VERIFY_ONE_IN; i++) {
            assertThat(validator.shouldVerify(nowUs, 1, 4)).as("lookup " + i).isFalse();
        }
        assertThat(validator.shouldVerify(nowUs, 1, 4)).isTrue();
        assertThat(validator.shouldVerify(nowUs, 1, 4)).isFalse();
    }

    @Test
    void unusualClaimIsVerifiedOnceInTenSecondsAtAWorker() {
        assertThat(validator.shouldVerify(nowUs, 1, 1_000)).isTrue();
        nowUs += 10 * S - 1;
        assertThat(validator.shouldVerify(nowUs, 1, 1_000)).isFalse();
        assertThat(validator.shouldVerify(nowUs, 2, 1_000)).as("another worker").isTrue();
        nowUs += 1;
        assertThat(validator.shouldVerify(nowUs, 1, 1_000)).as("one per second in all").isFalse();
        nowUs += S;
        assertThat(validator.shouldVerify(nowUs, 1, 1_000)).isTrue();
    }
}

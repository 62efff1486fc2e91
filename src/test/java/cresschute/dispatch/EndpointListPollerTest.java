package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Checks when the endpoint list is polled. */
class EndpointListPollerTest {

    private static EndpointListPoller poller(long seed) {
        return poller(seed, 10 * SECOND);
    }

    private static EndpointListPoller poller(long seed, long pollWithinUs) {
        final List<RequestClass> classes =
                List.of(TestSettings.requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL));
        return new PolicyFixture(
                        new TestSettings(classes).polled().pollWithinUs(pollWithinUs).build(), seed)
                .poller;
    }

    @Test
    void pollsOnceWithinOneBackoffAfterFirstList() {
        final EndpointListPoller poller = poller(PolicyFixture.SEED);
        assertThat(poller.takeDuePoll(5 * SECOND)).isFalse();
        poller.started(5 * SECOND);
        assertThat(poller.takeDuePoll(6 * SECOND)).isTrue();
        assertThat(poller.takeDuePoll(60 * SECOND)).isFalse();
    }

    @Test
    void neverPollsIfHostPushesChanges() {
        final EndpointListPoller poller = PolicyFixture.ofSafeClass().poller;
        poller.started(SECOND);
        assertThat(poller.takeDuePoll(3_600 * SECOND)).isFalse();
    }

    @Test
    void repeatsFailedPollAfterHalfToOneAndAHalfBackoffs() {
        for (long seed = 0; seed < 50; seed++) {
            final EndpointListPoller poller = poller(seed);
            poller.pollFailed(5 * SECOND);
            assertThat(poller.takeDuePoll(5 * SECOND + SECOND / 2 - 1)).isFalse();
            assertThat(poller.takeDuePoll(5 * SECOND + SECOND * 3 / 2)).isTrue();
        }
    }

    /** Guards against a list that counts as notified before the poller polls it. */
    @Test
    void keepsToShortTimeWithoutPoll() {
        final long pollWithinUs = SECOND / 2;
        for (long seed = 0; seed < 50; seed++) {
            final EndpointListPoller poller = poller(seed, pollWithinUs);
            poller.started(SECOND);
            assertThat(poller.takeDuePoll(SECOND + pollWithinUs)).isTrue();
            poller.pollFailed(5 * SECOND);
            assertThat(poller.takeDuePoll(5 * SECOND + pollWithinUs)).isTrue();
        }
    }

    /** A configuration need not state the time. */
    @Test
    void pollsWithinOneBackoffIfTimeIsNotStated() {
        final EndpointListPoller poller = poller(PolicyFixture.SEED, 0);
        poller.started(SECOND);
        assertThat(poller.takeDuePoll(2 * SECOND)).isTrue();
    }

    @Test
    void spreadsPollsOfManyDispatchers() {
        final long early =
                LongStream.range(0, 100)
                        .filter(
                                seed -> {
                                    final EndpointListPoller poller = poller(seed);
                                    poller.pollFailed(5 * SECOND);
                                    return poller.takeDuePoll(6 * SECOND);
                                })
                        .count();
        assertThat(early).isBetween(30L, 70L);
    }
}

package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Adds up timeouts and delays for each sequence of up to three calls without a response. */
class DiscoveryCallScheduleTest {

    /** A change must take effect within this time after discovery has it and is reachable, ms. */
    private static final long MAX_PROPAGATION_MS = 6_000;

    /** Reserve for the response with the change and for delays of the event loop, ms. */
    private static final long RESPONSE_MARGIN_MS = 1_000;

    /** The dispatcher's longest pause after a failure, including its tick, ms. */
    private static final long DISPATCHER_PAUSE_MS = 1_550;

    private static final long CONNECT_MS = 1_000;

    /** Always returns the longest delay. */
    private static final RandomGenerator LONGEST =
            new RandomGenerator() {
                @Override
                public long nextLong() {
                    return Long.MAX_VALUE;
                }

                @Override
                public long nextLong(long bound) {
                    return bound - 1;
                }
            };

    /**
     * Time from the start of the first call to the start of the call after the given ones, ms.
     *
     * @param calls one letter per call: {@code s} gets no response, {@code c} gets no connection
     */
    private static long nextCallMs(String calls, boolean fullList) {
        final DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(LONGEST);
        long nowMs = 0;
        for (int i = 0; i < calls.length(); i++) {
            final long timeoutMs = schedule.timeoutMs(fullList);
            nowMs += calls.charAt(i) == 'c' ? Math.min(CONNECT_MS, timeoutMs) : timeoutMs;
            final OptionalLong pause = schedule.recordTimeout();
            nowMs += pause.orElse(DISPATCHER_PAUSE_MS);
            if (pause.isEmpty()) {
                schedule.reset();
            }
        }
        return nowMs;
    }

    @ParameterizedTest(name = "calls {0}, whole list: {1}")
    @CsvSource({
        "s, false, 3250",
        "c, false, 1000",
        "ss, false, 4700",
        "sc, false, 4450",
        "cs, false, 2450",
        "cc, false, 2200",
        "s, true, 2500",
        "ss, true, 3950",
        "sc, true, 3700",
        "cc, true, 2200"
    })
    void changeMissedByTwoCallsArrivesInTime(String calls, boolean fullList, long expectedMs) {
        final long nextMs = nextCallMs(calls, fullList);
        assertThat(nextMs).isEqualTo(expectedMs);
        assertThat(nextMs).isLessThanOrEqualTo(MAX_PROPAGATION_MS - RESPONSE_MARGIN_MS);
    }

    @Test
    void changeArrivesInTimeAfterSilentWatchAndRefusal() {
        assertThat(nextCallMs("s", false) + DISPATCHER_PAUSE_MS)
                .isLessThanOrEqualTo(MAX_PROPAGATION_MS - RESPONSE_MARGIN_MS);
    }

    @Test
    void changeArrivesInTimeAfterThreeRefusals() {
        assertThat(3 * DISPATCHER_PAUSE_MS)
                .isLessThanOrEqualTo(MAX_PROPAGATION_MS - RESPONSE_MARGIN_MS);
    }

    /** Three timeouts exceed the limit, but discovery was unreachable for that long. */
    @Test
    void threeTimeoutsInARowCountAsFailure() {
        assertThat(nextCallMs("sss", false)).isEqualTo(7_500);
    }

    @Test
    void responseResetsRetries() {
        final DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(LONGEST);
        schedule.recordTimeout();
        assertThat(schedule.longPollWaitMs())
                .isEqualTo(DiscoveryCallSchedule.MIN_LONG_POLL_WAIT_MS);
        schedule.reset();
        assertThat(schedule.longPollWaitMs()).isEqualTo(DiscoveryCallSchedule.LONG_POLL_WAIT_MS);
        assertThat(schedule.timeoutMs(false))
                .isEqualTo(
                        DiscoveryCallSchedule.LONG_POLL_WAIT_MS
                                + DiscoveryCallSchedule.RESPONSE_TIMEOUT_MS);
    }

    /** A list that may be stale must not be used for as long as a long poll waits. */
    @Test
    void confirmingCallNeedsResponseAtOnce() {
        final DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(LONGEST);
        schedule.startConfirming();
        assertThat(schedule.longPollWaitMs())
                .isEqualTo(DiscoveryCallSchedule.MIN_LONG_POLL_WAIT_MS);
        assertThat(schedule.timeoutMs(false)).isEqualTo(DiscoveryCallSchedule.RESPONSE_TIMEOUT_MS);
        assertThat(schedule.timeoutMs(true)).isEqualTo(DiscoveryCallSchedule.FULL_LIST_TIMEOUT_MS);
        schedule.reset();
        assertThat(schedule.longPollWaitMs()).isEqualTo(DiscoveryCallSchedule.LONG_POLL_WAIT_MS);
    }

    /** The calls of many dispatchers time out at the same time if discovery stops responding. */
    @Test
    void jitterSpreadsSecondRetriesOfManyDispatchers() {
        final List<Long> pauses =
                new SplittableRandom(5)
                        .longs(100)
                        .mapToObj(
                                seed -> {
                                    final DiscoveryCallSchedule schedule =
                                            new DiscoveryCallSchedule(new SplittableRandom(seed));
                                    assertThat(schedule.recordTimeout()).hasValue(0);
                                    return schedule.recordTimeout().orElseThrow();
                                })
                        .toList();
        assertThat(pauses).allMatch(pause -> pause <= DiscoveryCallSchedule.MAX_JITTER_MS);
        for (long from = 0; from < DiscoveryCallSchedule.MAX_JITTER_MS; from += 50) {
            final long start = from;
            assertThat(
                            pauses.stream()
                                    .filter(pause -> pause >= start && pause < start + 50)
                                    .count())
                    .as("retries from %d ms on", start)
                    .isBetween(10L, 45L);
        }
    }
}

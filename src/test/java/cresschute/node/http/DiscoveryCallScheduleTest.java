package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sums of the schedule over every order of calls without an answer, by a stated clock. */
class DiscoveryCallScheduleTest {

    /** A change counts as told so long after discovery had it and could be reached, ms. */
    private static final long COUNTS_AS_TOLD_MS = 6_000;

    /** Left for the answer that brings the change, and for the loop, ms. */
    private static final long ROOM_MS = 1_000;

    /** The longest pause of the module's after a failure, its tick included, ms. */
    private static final long MODULE_PAUSE_MS = 1_550;

    private static final long CONNECT_MS = 1_000;

    /** Draws the longest pause each time. */
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
     * When the next call begins, ms after the first, each letter being a call: silent, or not
     * connected.
     */
    private static long nextCallMs(String calls, boolean wholeList) {
        final DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(LONGEST);
        long nowMs = 0;
        for (int i = 0; i < calls.length(); i++) {
            final long limitMs = schedule.limitMs(wholeList);
            nowMs += calls.charAt(i) == 'c' ? Math.min(CONNECT_MS, limitMs) : limitMs;
            final OptionalLong pause = schedule.afterSilence();
            nowMs += pause.orElse(MODULE_PAUSE_MS);
            if (pause.isEmpty()) {
                schedule.restart();
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
    void whatTwoCallsInARowMissIsHeardInTime(String calls, boolean wholeList, long expectedMs) {
        final long nextMs = nextCallMs(calls, wholeList);
        assertThat(nextMs).isEqualTo(expectedMs);
        assertThat(nextMs).isLessThanOrEqualTo(COUNTS_AS_TOLD_MS - ROOM_MS);
    }

    @Test
    void aSilentWatchAndARefusalAreHeardInTime() {
        assertThat(nextCallMs("s", false) + MODULE_PAUSE_MS)
                .isLessThanOrEqualTo(COUNTS_AS_TOLD_MS - ROOM_MS);
    }

    @Test
    void threeRefusalsAreHeardInTime() {
        assertThat(3 * MODULE_PAUSE_MS).isLessThanOrEqualTo(COUNTS_AS_TOLD_MS - ROOM_MS);
    }

    /** Three are beyond what discovery can be said to have been reachable for; the page says so. */
    @Test
    void threeSilencesInARowCountAsAFailure() {
        assertThat(nextCallMs("sss", false)).isEqualTo(7_500);
    }

    @Test
    void anAnswerEndsTheRepeats() {
        final DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(LONGEST);
        schedule.afterSilence();
        assertThat(schedule.waitMs()).isEqualTo(DiscoveryCallSchedule.NO_WAIT_MS);
        schedule.restart();
        assertThat(schedule.waitMs()).isEqualTo(DiscoveryCallSchedule.WAIT_MS);
        assertThat(schedule.limitMs(false))
                .isEqualTo(DiscoveryCallSchedule.WAIT_MS + DiscoveryCallSchedule.ANSWER_MS);
    }

    /** Calls of many dispatchers fall silent at once where discovery stands still. */
    @Test
    void secondRepeatsOfManyDispatchersComeApart() {
        final List<Long> pauses =
                new SplittableRandom(5)
                        .longs(100)
                        .mapToObj(
                                seed -> {
                                    final DiscoveryCallSchedule schedule =
                                            new DiscoveryCallSchedule(new SplittableRandom(seed));
                                    assertThat(schedule.afterSilence()).hasValue(0);
                                    return schedule.afterSilence().orElseThrow();
                                })
                        .toList();
        assertThat(pauses).allMatch(pause -> pause <= DiscoveryCallSchedule.MAX_JITTER_MS);
        for (long from = 0; from < DiscoveryCallSchedule.MAX_JITTER_MS; from += 50) {
            final long start = from;
            assertThat(
                            pauses.stream()
                                    .filter(pause -> pause >= start && pause < start + 50)
                                    .count())
                    .as("repeats from %d ms on", start)
                    .isBetween(10L, 45L);
        }
    }
}

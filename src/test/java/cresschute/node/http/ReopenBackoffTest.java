package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the pauses between the watches of a pushed endpoint list. */
class ReopenBackoffTest {

    @Test
    void growsToLongestPauseAndStartsAgainAfterResponse() {
        for (long seed = 0; seed < 50; seed++) {
            final ReopenBackoff backoff = new ReopenBackoff(new SplittableRandom(seed));
            for (final long longest : new long[] {20, 40, 80, 150, 150, 150}) {
                assertThat(backoff.nextPauseMs()).isBetween(longest / 2, longest);
            }
            backoff.reset();
            assertThat(backoff.nextPauseMs()).isBetween(10L, 20L);
        }
    }

    /** Guards against a pause that uses up a grace shorter than the usual one. */
    @Test
    void leavesMostOfShortGrace() {
        final ReopenBackoff backoff = new ReopenBackoff(new SplittableRandom(1));
        backoff.setDrainGraceUs(100_000);
        for (int failure = 0; failure < 50; failure++) {
            assertThat(backoff.nextPauseMs()).isBetween(10L, 37L);
        }
    }

    /** Guards against calls without a pause where the settings leave no grace at all. */
    @Test
    void keepsDistanceWithoutGrace() {
        final ReopenBackoff backoff = new ReopenBackoff(new SplittableRandom(1));
        backoff.setDrainGraceUs(0);
        for (int failure = 0; failure < 50; failure++) {
            assertThat(backoff.nextPauseMs()).isBetween(5L, 10L);
        }
    }
}

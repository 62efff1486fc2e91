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
}

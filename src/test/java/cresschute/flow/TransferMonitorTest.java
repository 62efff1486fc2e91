package cresschute.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who is slow and who is dead: by bytes in time of one's own. */
class TransferMonitorTest {

    private static final long S = 1_000_000;
    private final TransferMonitor pace = new TransferMonitor(1_000, 10 * S, 0);

    /** One byte a second is no stall, and is too slow all the same; a slow line is neither. */
    @ParameterizedTest
    @CsvSource({"1, 10", "999, 10", "1000, -1", "5000, -1"})
    void rateOverTheSpanDecides(long bytesEachSecond, int givenUpAtS) {
        pace.setActive(true, 0);
        int givenUp = -1;
        for (int s = 1; s <= 60 && givenUp < 0; s++) {
            pace.transferred(bytesEachSecond, s * S);
            givenUp = pace.isTooSlow(s * S) ? s : -1;
        }
        assertThat(givenUp).isEqualTo(givenUpAtS);
    }

    /** However much went by before it. */
    @Test
    void stallDecidesAlone() {
        pace.setActive(true, 0);
        pace.transferred(1_000_000, S);
        assertThat(pace.isTooSlow(11 * S)).isFalse();
        assertThat(pace.isTooSlow(11 * S + 1)).isTrue();
    }

    /** A side that waits for others is not at fault, however long that takes. */
    @Test
    void othersTimeIsNotItsOwn() {
        pace.setActive(true, 0);
        pace.setActive(false, 9 * S);
        assertThat(pace.isTooSlow(500 * S)).isFalse();
        pace.setActive(true, 500 * S);
        assertThat(pace.isTooSlow(500 * S + S / 2)).isFalse();
        assertThat(pace.isTooSlow(502 * S)).isTrue();
    }
}

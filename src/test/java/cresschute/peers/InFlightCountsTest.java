package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests this dispatcher's counts and which of them have to be advertised. */
class InFlightCountsTest {

    private final InFlightCounts counts = new InFlightCounts();

    @Test
    void changesAreInTheOrderOfTheFirstChange() {
        counts.attemptStarted(9);
        counts.attemptStarted(3);
        counts.attemptStarted(9);
        assertThat(counts.changedKeys()).containsExactly(9, 3);
        counts.markAdvertised(9);
        assertThat(counts.changedKeys()).containsExactly(3);
        assertThat(counts.count(9)).isEqualTo(2);
    }

    @Test
    void countThatReturnsToTheAdvertisedOneIsNoChange() {
        counts.attemptStarted(1);
        counts.attemptEnded(1);
        assertThat(counts.hasChanges()).isFalse();
        counts.attemptStarted(1);
        counts.markAdvertised(1);
        counts.attemptEnded(1);
        assertThat(counts.changedKeys()).containsExactly(1);
        counts.attemptStarted(1);
        assertThat(counts.hasChanges()).isFalse();
    }

    @Test
    void keysInFlightAreInUnsignedOrder() {
        counts.attemptStarted(-1);
        counts.attemptStarted(5);
        counts.attemptStarted(2);
        counts.attemptStarted(7);
        counts.attemptEnded(7);
        assertThat(counts.inFlightKeysFrom(3)).containsExactly(5, -1);
    }
}

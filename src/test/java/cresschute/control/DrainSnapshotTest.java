package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A snapshot is read as it was written, and anything else is rejected. */
class DrainSnapshotTest {

    private static DrainSnapshot some() {
        final DrainRegistry drains = new DrainRegistry();
        drains.restore(
                List.of(
                        new Drain("w1", 5, DrainRegistry.NO_END_US, "ann", "d\u00efsk"),
                        new Drain("w2", 6, 99, "bob", "")));
        drains.apply(
                new DrainOperation("o1", false, "w2", DrainRegistry.NO_END_US, "bob", "", false),
                null,
                7);
        return new DrainSnapshot(41, drains.inForce(), drains.completed());
    }

    @Test
    void rejectsTornAndChangedSnapshots() throws Exception {
        final byte[] bytes = some().encode();
        assertThat(DrainSnapshot.decode(bytes)).isEqualTo(some());
        for (int i = 0; i < bytes.length; i++) {
            final byte[] torn = Arrays.copyOf(bytes, i);
            assertThatThrownBy(() -> DrainSnapshot.decode(torn))
                    .isInstanceOf(DamagedFileException.class);
            for (int bit = 0; bit < 8; bit++) {
                final byte[] flipped = bytes.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThatThrownBy(() -> DrainSnapshot.decode(flipped))
                        .isInstanceOf(DamagedFileException.class);
            }
        }
        assertThatThrownBy(() -> DrainSnapshot.decode(Arrays.copyOf(bytes, bytes.length + 1)))
                .hasMessageMatching("it holds [0-9]+ bytes of [0-9]+");
    }

    /** An older file that was given a newer number would undo what came after it. */
    @Test
    void checksumCoversTheGeneration() {
        final String text = new String(some().encode(), StandardCharsets.UTF_8);
        assertThatThrownBy(
                        () ->
                                DrainSnapshot.decode(
                                        text.replace("generation=41", "generation=43")
                                                .getBytes(StandardCharsets.UTF_8)))
                .hasMessage("its checksum is not that of its content");
    }

    /**
     * Operations are stored too: an undo that is sent again after a restart must not undo a later
     * drain.
     */
    @Test
    void restartKeepsCompletedOperations() throws Exception {
        final DrainSnapshot read = DrainSnapshot.decode(some().encode());
        final DrainRegistry drains = new DrainRegistry();
        drains.restore(
                List.of(new Drain("w2", 8, DrainRegistry.NO_END_US, "ann", "")), read.completed());
        drains.apply(
                new DrainOperation("o1", false, "w2", DrainRegistry.NO_END_US, "bob", "", false),
                null,
                9);
        assertThat(drains.drainOf("w2")).isPresent();
    }
}

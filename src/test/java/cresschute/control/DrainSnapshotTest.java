package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a snapshot is read as written and that a torn or changed one is rejected. */
class DrainSnapshotTest {

    private static DrainSnapshot sampleSnapshot() {
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
        final byte[] bytes = sampleSnapshot().encode();
        assertThat(DrainSnapshot.decode(bytes)).isEqualTo(sampleSnapshot());
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
                .hasMessageMatching("its body has [0-9]+ bytes; its header states [0-9]+");
    }

    /**
     * Guards against an old file whose generation was changed to a newer one: it would undo later
     * changes.
     */
    @Test
    void checksumCoversTheGeneration() {
        final String text = new String(sampleSnapshot().encode(), StandardCharsets.UTF_8);
        assertThatThrownBy(
                        () ->
                                DrainSnapshot.decode(
                                        text.replace("generation=41", "generation=43")
                                                .getBytes(StandardCharsets.UTF_8)))
                .hasMessage("its checksum does not match its generation and body");
    }

    /**
     * Guards against lost operations: an undrain that is sent again after a restart must not end a
     * later drain.
     */
    @Test
    void restartKeepsCompletedOperations() throws Exception {
        final DrainSnapshot read = DrainSnapshot.decode(sampleSnapshot().encode());
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

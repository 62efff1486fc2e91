package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.control.DrainRegistry.Drain;
import cresschute.control.DrainRegistry.Operation;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is read is what was written, and anything else is refused. */
class SnapshotTest {

    private static Snapshot some() {
        final DrainRegistry drains = new DrainRegistry();
        drains.restore(
                List.of(
                        new Drain("w1", 5, DrainRegistry.FOREVER, "ann", "d\u00efsk"),
                        new Drain("w2", 6, 99, "bob", "")));
        drains.apply(
                new Operation("o1", false, "w2", DrainRegistry.FOREVER, "bob", "", false), null, 7);
        return new Snapshot(41, drains.inForce(), drains.remembered());
    }

    @Test
    void snapshotIsReadWholeOrNotAtAll() throws Exception {
        final byte[] bytes = some().encode();
        assertThat(Snapshot.decode(bytes)).isEqualTo(some());
        for (int i = 0; i < bytes.length; i++) {
            final byte[] torn = Arrays.copyOf(bytes, i);
            assertThatThrownBy(() -> Snapshot.decode(torn))
                    .isInstanceOf(ChecksummedFile.DamagedFileException.class);
            for (int bit = 0; bit < 8; bit++) {
                final byte[] flipped = bytes.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThatThrownBy(() -> Snapshot.decode(flipped))
                        .isInstanceOf(ChecksummedFile.DamagedFileException.class);
            }
        }
        assertThatThrownBy(() -> Snapshot.decode(Arrays.copyOf(bytes, bytes.length + 1)))
                .hasMessageMatching("it holds [0-9]+ bytes of [0-9]+");
    }

    /** An older file that was given a newer number would undo what came after it. */
    @Test
    void generationIsUnderTheChecksum() {
        final String text = new String(some().encode(), StandardCharsets.UTF_8);
        assertThatThrownBy(
                        () ->
                                Snapshot.decode(
                                        text.replace("generation=41", "generation=43")
                                                .getBytes(StandardCharsets.UTF_8)))
                .hasMessage("its checksum is not that of its content");
    }

    /**
     * Operations are kept too: an undo that is sent again after a restart must not undo a later
     * drain.
     */
    @Test
    void restartDoesNotForgetOperations() throws Exception {
        final Snapshot read = Snapshot.decode(some().encode());
        final DrainRegistry drains = new DrainRegistry();
        drains.restore(
                List.of(new Drain("w2", 8, DrainRegistry.FOREVER, "ann", "")), read.operations());
        drains.apply(
                new Operation("o1", false, "w2", DrainRegistry.FOREVER, "bob", "", false), null, 9);
        assertThat(drains.of("w2")).isNotNull();
    }
}

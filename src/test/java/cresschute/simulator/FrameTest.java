package cresschute.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Checks the byte format of batches and replies. */
class FrameTest {

    private static final String TWO_INSTANCES =
            """
            5a5c800000000000 62000000 03000000 0c000000
            03 2b000000 03000000 c4913a5d 0000 640ad2557c3bf091 01 00000040 e02e0000 00000000 00000000
               da05840000000000
            07 0c000000 03000000 4d00000000000000
            06 08000000 05000000 192b6f0e\
            """;

    static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex.replaceAll("\\s", ""));
    }

    private static FrameReader reader(byte[] input) {
        return new FrameReader(new ByteArrayInputStream(input));
    }

    @Test
    void readsRecordsOfBatch() throws IOException {
        final FrameReader reader = reader(bytes(TWO_INSTANCES));
        assertThat(reader.nextBatch()).isTrue();
        assertThat(reader.clockUs()).isEqualTo(0x805c5a);
        assertThat(reader.sequence()).isEqualTo(12);
        assertThat(reader.nextRecord()).isTrue();
        assertThat(reader.code()).isEqualTo(3);
        assertThat(reader.u32()).isEqualTo(3);
        assertThat(reader.u32()).isEqualTo(0x5d3a91c4);
        assertThat(reader.u16()).isZero();
        assertThat(reader.u64()).isEqualTo(0x91f03b7c55d20a64L);
        assertThat(reader.u8()).isEqualTo(1);
        assertThat(reader.f32()).isEqualTo(2f);
        assertThat(reader.nextRecord()).isTrue();
        assertThat(reader.nextRecord()).isTrue();
        assertThat(reader.nextRecord()).isFalse();
        assertThat(reader.nextBatch()).isFalse();
    }

    @Test
    void writesRepliesWithHeader() throws IOException {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        final FrameWriter writer = new FrameWriter();
        writer.flushTo(out, 1);
        assertThat(out.toByteArray()).isEqualTo(bytes("00000000 0c000000 01000000"));
        out.reset();
        writer.record(69, 20).u32(3).u32(0x5d3a91c4).u64(0x8194da).u32(0x03124a07);
        writer.record(75, 16).u32(3).u64(77).u32(500_000);
        writer.text(72, 17, "two servers known");
        writer.flushTo(out, 12);
        assertThat(out.toByteArray())
                .isEqualTo(
                        bytes(
                                """
                                03000000 56000000 0c000000
                                45 14000000 03000000 c4913a5d da94810000000000 074a1203
                                4b 10000000 03000000 4d00000000000000 20a10700
                                48 17000000 11000000 1100 74776f2073657276657273206b6e6f776e\
                                """));
    }

    @Test
    void growsBufferForLargeReplies() throws IOException {
        final FrameWriter writer = new FrameWriter();
        for (int i = 0; i < 200_000; i++) {
            writer.record(73, 8).u32(1).u32(i);
        }
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flushTo(out, 1);
        assertThat(out.size()).isEqualTo(12 + 200_000 * 13);
    }

    @Property(seed = "11", tries = 97)
    void rejectsEveryTruncation(@ForAll @IntRange(min = 1, max = 97) int length) {
        final FrameReader reader = reader(Arrays.copyOf(bytes(TWO_INSTANCES), length));
        assertThatThrownBy(reader::nextBatch)
                .isInstanceOf(MalformedInputException.class)
                .hasMessageContaining("ends inside");
    }

    @Test
    void rejectsRecordLongerThanItsBatch() throws IOException {
        final byte[] tooLong = bytes(TWO_INSTANCES);
        tooLong[21] = (byte) 0xff;
        final FrameReader reader = reader(tooLong);
        reader.nextBatch();
        assertThatThrownBy(reader::nextRecord)
                .isInstanceOf(MalformedInputException.class)
                .hasMessageContaining("longer than its batch");
    }

    @Test
    void rejectsFieldsBeyondEndOfRecord() throws IOException {
        final FrameReader reader = reader(bytes(TWO_INSTANCES));
        reader.nextBatch();
        reader.nextRecord();
        reader.bytes(40);
        assertThatThrownBy(reader::u32)
                .isInstanceOf(MalformedInputException.class)
                .hasMessageContaining("too short");
    }
}

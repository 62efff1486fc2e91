package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that messages are decoded as they were encoded, and that altered ones are rejected. */
class LoadMessageCodecTest {

    private static final byte[] KEY =
            "0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    private final LoadMessageCodec codec = new LoadMessageCodec(KEY);

    private static LoadMessage message(LoadEntry... entries) {
        return new LoadMessage(
                0xfedc_ba98,
                1_700_000_000_000_000L,
                0xffff_fffeL,
                7,
                false,
                new KeyRange(5, KeyRange.MAX_KEY),
                List.of(entries));
    }

    private RejectionReason rejection(byte[] bytes) {
        try {
            codec.decode(bytes);
            return null;
        } catch (RejectedMessageException e) {
            return e.reason();
        }
    }

    @Property(tries = 300, seed = "7")
    void decodesEncodedMessages(
            @ForAll int sender,
            @ForAll @IntRange(max = 180) int size,
            @ForAll long seed,
            @ForAll boolean leaving)
            throws RejectedMessageException {
        final Random random = new Random(seed);
        final List<LoadEntry> entries = new ArrayList<>();
        IntStream.range(0, size)
                .forEach(
                        i ->
                                entries.add(
                                        new LoadEntry(
                                                random.nextInt(),
                                                random.nextInt() >>> (17 + random.nextInt(15)))));
        final LoadMessage message =
                new LoadMessage(
                        sender,
                        random.nextLong() >>> 1,
                        1 + (random.nextInt() >>> 1),
                        1 + (random.nextInt() >>> 1),
                        leaving,
                        new KeyRange(random.nextInt(), random.nextInt()),
                        entries);
        final byte[] bytes = codec.encode(message);
        assertThat(bytes).hasSize(LoadMessageCodec.messageBytes(message));
        assertThat(codec.decode(bytes)).isEqualTo(message);
    }

    @Test
    void decodesTheLargestCounts() throws RejectedMessageException {
        final LoadMessage message =
                message(
                        new LoadEntry(-1, Integer.MAX_VALUE),
                        new LoadEntry(0, 0),
                        new LoadEntry(1, 127),
                        new LoadEntry(2, 128));
        assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
    }

    @Test
    void truncatedMessagesAreRejected() {
        final byte[] encoded = codec.encode(message(new LoadEntry(1, 300), new LoadEntry(2, 2)));
        for (int length = 0; length < encoded.length; length++) {
            assertThat(rejection(Arrays.copyOf(encoded, length)))
                    .as("truncated to " + length)
                    .isEqualTo(
                            length < LoadMessageCodec.MIN_MESSAGE_BYTES
                                    ? RejectionReason.TOO_SHORT
                                    : RejectionReason.NOT_AUTHENTIC);
        }
    }

    @Test
    void messagesWithAFlippedBitAreRejected() {
        final byte[] encoded = codec.encode(message(new LoadEntry(1, 300), new LoadEntry(2, 2)));
        for (int bit = 0; bit < 8 * encoded.length; bit++) {
            final byte[] flipped = encoded.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertThat(rejection(flipped))
                    .as("bit " + bit)
                    .isEqualTo(
                            bit < 8
                                    ? RejectionReason.OTHER_VERSION
                                    : RejectionReason.NOT_AUTHENTIC);
        }
    }

    @Test
    void rejectsLongerMessagesAndOtherKeys() {
        final byte[] encoded = codec.encode(message());
        assertThat(rejection(Arrays.copyOf(encoded, encoded.length + 1)))
                .isEqualTo(RejectionReason.NOT_AUTHENTIC);
        assertThat(rejection(new byte[LoadMessageCodec.MAX_MESSAGE_BYTES + 1]))
                .isEqualTo(RejectionReason.TOO_LONG);
        assertThat(
                        rejection(
                                new LoadMessageCodec(
                                                "another key of 24 bytes!"
                                                        .getBytes(
                                                                java.nio.charset.StandardCharsets
                                                                        .UTF_8))
                                        .encode(message())))
                .isEqualTo(RejectionReason.NOT_AUTHENTIC);
    }

    @Test
    void rejectsAuthenticBytesOfInvalidFormatAsMalformed() {
        assertThat(
                        rejection(
                                codec.encode(
                                        new LoadMessage(
                                                1, -5, 1, 1, false, KeyRange.EMPTY, List.of()))))
                .as("negative incarnation")
                .isEqualTo(RejectionReason.MALFORMED);
        assertThat(
                        rejection(
                                codec.encode(
                                        new LoadMessage(
                                                1, 5, 0, 1, false, KeyRange.EMPTY, List.of()))))
                .as("sequence 0")
                .isEqualTo(RejectionReason.MALFORMED);
        assertThat(
                        rejection(
                                codec.encode(
                                        new LoadMessage(
                                                1, 5, 1, 0, false, KeyRange.EMPTY, List.of()))))
                .as("cycle 0")
                .isEqualTo(RejectionReason.MALFORMED);
        assertThat(rejection(codec.encode(message(new LoadEntry(1, -1)))))
                .as("count beyond 31 bits")
                .isEqualTo(RejectionReason.MALFORMED);
    }

    @Test
    void codecRejectsShortKeysAndLongMessages() {
        assertThatThrownBy(() -> new LoadMessageCodec(new byte[15]))
                .isInstanceOf(IllegalArgumentException.class);
        final LoadEntry[] many =
                IntStream.range(0, 300)
                        .mapToObj(i -> new LoadEntry(i, 1))
                        .toArray(LoadEntry[]::new);
        assertThatThrownBy(() -> codec.encode(message(many)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}

package cresschute.testbed.bodies;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A byte sequence derived from a name, so that both ends can generate it, and its checksum so far.
 * Owned by one thread.
 */
final class SeededBytes {

    private static final int BLOCK = 8 * 1024;

    private final UniformRandomProvider random;
    private final CRC32C sum = new CRC32C();
    private final byte[] made = new byte[BLOCK];
    private final ByteBuffer words = ByteBuffer.wrap(made);
    private int at = BLOCK;
    private long count;

    SeededBytes(String name) {
        final CRC32C seed = new CRC32C();
        seed.update(name.getBytes(StandardCharsets.UTF_8));
        random = RandomSource.SPLIT_MIX_64.create(seed.getValue());
    }

    /** Writes the next bytes of the sequence. */
    void fill(byte[] into, int bytes) {
        for (int done = 0; done < bytes; ) {
            final int now = Math.min(bytes - done, ready());
            System.arraycopy(made, at, into, done, now);
            at += now;
            done += now;
        }
        counted(into, bytes);
    }

    /** Returns whether the given bytes are the next of the sequence. */
    boolean isNext(byte[] given, int bytes) {
        boolean same = true;
        for (int done = 0; done < bytes; ) {
            final int now = Math.min(bytes - done, ready());
            same &= Arrays.equals(made, at, at + now, given, done, done + now);
            at += now;
            done += now;
        }
        counted(given, bytes);
        return same;
    }

    /** Generates a new block when the last is used up; returns the number of bytes ready. */
    private int ready() {
        if (at == BLOCK) {
            words.clear();
            while (words.hasRemaining()) {
                words.putLong(random.nextLong());
            }
            at = 0;
        }
        return BLOCK - at;
    }

    private void counted(byte[] bytes, int added) {
        sum.update(bytes, 0, added);
        count += added;
    }

    /** The number of bytes generated or checked so far. */
    long count() {
        return count;
    }

    /** The checksum of these bytes. */
    String sum() {
        return Long.toHexString(sum.getValue());
    }
}

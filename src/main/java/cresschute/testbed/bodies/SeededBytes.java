package cresschute.testbed.bodies;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Bytes that anybody can make again from a name, and their checksum so far. Owned by one thread.
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

    /** The next bytes of it. */
    void fill(byte[] into, int bytes) {
        for (int done = 0; done < bytes; ) {
            final int now = Math.min(bytes - done, ready());
            System.arraycopy(made, at, into, done, now);
            at += now;
            done += now;
        }
        counted(into, bytes);
    }

    /** Whether these are its next bytes. */
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

    /** Makes more where all was used, and returns how many are ready. */
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

    /** Bytes made or checked so far. */
    long count() {
        return count;
    }

    /** Checksum of all of them. */
    String sum() {
        return Long.toHexString(sum.getValue());
    }
}

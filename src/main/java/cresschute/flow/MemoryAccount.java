package cresschute.flow;

import java.util.Arrays;
import java.util.StringJoiner;

/**
 * The account of the heap that peers can make a node hold. Each {@link MemoryUse} has a limit, and
 * a part that no other use can take; the uses share the rest.
 *
 * <p>Owns the counts. Whoever reserves bytes releases them. A reservation that does not fit takes
 * nothing; what gives way to it is up to the caller. Lives as long as the node; call from the event
 * loop.
 */
public final class MemoryAccount {

    private final long maxBytes;
    private final Entry[] entries = new Entry[MemoryUse.values().length];

    /** The sum over all uses of what is reserved, or of the guaranteed part where that is more. */
    private long committedBytes;

    private static final class Entry {
        private long guaranteedBytes;
        private long maxBytes;
        private long inUseBytes;
        private long refused;
        private long givenUp;

        private long committedBytes() {
            return Math.max(inUseBytes, guaranteedBytes);
        }
    }

    /**
     * Creates an account of which nothing is reserved, and in which each use may take all.
     *
     * @param maxBytes the limit of all uses together, bytes
     */
    public MemoryAccount(long maxBytes) {
        this.maxBytes = maxBytes;
        for (final MemoryUse use : MemoryUse.values()) {
            entries[use.ordinal()] = new Entry();
            entry(use).maxBytes = maxBytes;
        }
    }

    /**
     * Sets the bounds of one use; call before anything is reserved.
     *
     * @param guaranteedBytes the part that no other use can take, bytes
     * @param maxUseBytes the limit of this use, bytes
     * @return this account
     * @throws IllegalArgumentException if the guaranteed parts exceed the account
     */
    public MemoryAccount bound(MemoryUse use, long guaranteedBytes, long maxUseBytes) {
        final Entry entry = entry(use);
        committedBytes -= entry.committedBytes();
        entry.guaranteedBytes = guaranteedBytes;
        entry.maxBytes = maxUseBytes;
        committedBytes += entry.committedBytes();
        if (committedBytes > maxBytes) {
            throw new IllegalArgumentException("guaranteed parts exceed " + maxBytes + " bytes");
        }
        return this;
    }

    private Entry entry(MemoryUse use) {
        return entries[use.ordinal()];
    }

    /** Reserves bytes; returns false, and reserves nothing, if they exceed a limit. */
    public boolean reserve(MemoryUse use, long bytes) {
        final Entry entry = entry(use);
        final long nextInUse = entry.inUseBytes + bytes;
        final long nextCommitted =
                committedBytes
                        - entry.committedBytes()
                        + Math.max(nextInUse, entry.guaranteedBytes);
        if (nextInUse > entry.maxBytes || nextCommitted > maxBytes) {
            return false;
        }
        entry.inUseBytes = nextInUse;
        committedBytes = nextCommitted;
        return true;
    }

    /** Releases reserved bytes. */
    public void release(MemoryUse use, long bytes) {
        final Entry entry = entry(use);
        committedBytes -= entry.committedBytes();
        entry.inUseBytes -= bytes;
        committedBytes += entry.committedBytes();
    }

    /** Counts a reservation that was refused for good. */
    public void countRefused(MemoryUse use) {
        entry(use).refused++;
    }

    /** Counts memory of this use that was given up for a reservation of another owner. */
    public void countGivenUp(MemoryUse use) {
        entry(use).givenUp++;
    }

    /** The limit of one use, bytes. */
    public long maxBytes(MemoryUse use) {
        return entry(use).maxBytes;
    }

    /** The bytes that one use has reserved now. */
    public long inUseBytes(MemoryUse use) {
        return entry(use).inUseBytes;
    }

    /** The bytes that all uses have reserved now. */
    public long inUseBytes() {
        return Arrays.stream(entries).mapToLong(each -> each.inUseBytes).sum();
    }

    /** How many reservations of one use were refused so far. */
    public long refused(MemoryUse use) {
        return entry(use).refused;
    }

    /** How often memory of one use was given up so far. */
    public long givenUp(MemoryUse use) {
        return entry(use).givenUp;
    }

    /**
     * One text with each use's bytes, and its refused and given up reservations if there are any.
     */
    @Override
    public String toString() {
        final StringJoiner text = new StringJoiner(", ");
        for (final MemoryUse use : MemoryUse.values()) {
            final Entry entry = entry(use);
            final String counts =
                    entry.refused + entry.givenUp == 0
                            ? ""
                            : " (" + entry.refused + " refused, " + entry.givenUp + " given up)";
            text.add(use.wireName() + " " + entry.inUseBytes + counts);
        }
        return text.toString();
    }
}

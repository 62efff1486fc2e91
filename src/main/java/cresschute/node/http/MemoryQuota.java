package cresschute.node.http;

/**
 * Limits the memory that all users of one kind take together. Owns the count of reserved bytes;
 * whoever reserves bytes releases them. Call from the event loop.
 */
final class MemoryQuota {

    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a quota of which nothing is reserved.
     *
     * @param maxBytes the limit of all reservations together, bytes
     */
    MemoryQuota(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a quota of this fraction of the heap that the process may use. */
    static MemoryQuota ofHeap(double fraction) {
        return new MemoryQuota((long) (Runtime.getRuntime().maxMemory() * fraction));
    }

    /** The limit, bytes. */
    long maxBytes() {
        return maxBytes;
    }

    /** The bytes that are reserved now. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Reserves bytes; returns false, and reserves nothing, if they exceed the limit. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }
}

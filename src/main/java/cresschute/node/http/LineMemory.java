package cresschute.node.http;

/**
 * Limits the heap that the unfinished lines of all workers take together, because a worker may send
 * a line that never ends. Owns the count of reserved bytes; each {@link ProgressLineReader}
 * releases what it has reserved. Lives as long as the connection pool; call from the event loop.
 */
final class LineMemory {

    /** The fraction of the process's heap that unfinished lines may take. */
    private static final double HEAP_FRACTION = 0.125;

    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a memory of which nothing is reserved.
     *
     * @param maxBytes the limit of all reservations together, bytes
     */
    LineMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates the memory of a process whose heap may grow to {@code heapBytes}. */
    static LineMemory ofHeap(long heapBytes) {
        return new LineMemory((long) (heapBytes * HEAP_FRACTION));
    }

    /** Reserves bytes; returns false if they exceed the limit. */
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

    /** The bytes that are reserved now. */
    long reservedBytes() {
        return reservedBytes;
    }
}

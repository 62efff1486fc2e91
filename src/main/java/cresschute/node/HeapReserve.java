package cresschute.node;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Heap that is held for the moment in which memory has run out, and released then, so that the node
 * can answer, close and log. Safe for use by any thread.
 */
final class HeapReserve {

    private static final int BYTES = 2 * 1024 * 1024;

    private final AtomicLong releases = new AtomicLong();

    @SuppressWarnings("unused") // Only takes memory.
    private volatile byte[] reserve = new byte[BYTES];

    /** Releases the reserve if this error says that memory has run out. */
    void releaseAfter(Throwable error) {
        if (error instanceof OutOfMemoryError && reserve != null) {
            reserve = null;
            releases.incrementAndGet();
        }
    }

    /** Holds the memory again if it was released; called from time to time. */
    void restore() {
        if (reserve == null) {
            try {
                reserve = new byte[BYTES];
            } catch (OutOfMemoryError e) {
                // The next call tries again.
            }
        }
    }

    /** How often the reserve was released. */
    long releases() {
        return releases.get();
    }
}

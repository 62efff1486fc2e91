package cresschute.node.http;

/**
 * Limits the heap that the requests of all clients take together, so that no number or size of
 * requests can exhaust it. Incomplete bodies may take only a part of it, because a client may stop
 * in the middle of a body: the rest is always left for requests that have arrived whole.
 *
 * <p>Owns the counts of reserved bytes. Whoever reserves bytes releases them: {@link
 * RequestBodyBuffer} those of an incomplete body, {@link PendingResponse} those of a whole request.
 * Lives as long as the listener; call from the event loop.
 */
final class RequestMemory {

    /** The estimated heap of a request without its body and the texts of its head, bytes. */
    static final int REQUEST_BYTES = 2 * 1024;

    /** The fraction of the process's heap that requests may take. */
    private static final double HEAP_FRACTION = 0.375;

    /** The fraction of that memory that incomplete bodies may take. */
    private static final double INCOMPLETE_FRACTION = 0.5;

    private final long maxBytes;
    private final long maxIncompleteBytes;
    private long requestBytes;
    private long incompleteBytes;

    /**
     * Creates a memory of which nothing is reserved.
     *
     * @param maxBytes the limit of all reservations together, bytes
     */
    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxIncompleteBytes = (long) (maxBytes * INCOMPLETE_FRACTION);
    }

    /** Creates the memory of a process whose heap may grow to {@code heapBytes}. */
    static RequestMemory ofHeap(long heapBytes) {
        return new RequestMemory((long) (heapBytes * HEAP_FRACTION));
    }

    /** The bytes that a whole request takes, including its body of {@code bodyBytes}. */
    static int bytesOf(RequestHead head, int bodyBytes) {
        final int keyBytes = head.idempotencyKey() == null ? 0 : head.idempotencyKey().length();
        return REQUEST_BYTES + head.target().length() + keyBytes + bodyBytes;
    }

    /** Reserves bytes for a whole request; returns false if they exceed the limit. */
    boolean reserveRequest(int bytes) {
        if (inUseBytes() + bytes > maxBytes) {
            return false;
        }
        requestBytes += bytes;
        return true;
    }

    /** Releases bytes that {@link #reserveRequest} reserved. */
    void releaseRequest(int bytes) {
        requestBytes -= bytes;
    }

    /** Reserves bytes for an incomplete body; returns false if they exceed a limit. */
    boolean reserveIncomplete(int bytes) {
        if (incompleteBytes + bytes > maxIncompleteBytes || inUseBytes() + bytes > maxBytes) {
            return false;
        }
        incompleteBytes += bytes;
        return true;
    }

    /** Releases bytes that {@link #reserveIncomplete} reserved. */
    void releaseIncomplete(int bytes) {
        incompleteBytes -= bytes;
    }

    /** The bytes that are reserved now. */
    long inUseBytes() {
        return requestBytes + incompleteBytes;
    }
}

package cresschute.node.http;

/**
 * Limits the heap that the requests of all clients take together, so that no number or size of
 * requests can exhaust it. Incomplete bodies may take only a part of it, because a client may stop
 * in the middle of a body: the rest is always left for requests that have arrived whole.
 *
 * <p>Owns the quotas. Whoever reserves bytes releases them: {@link RequestBodyBuffer} those of an
 * incomplete body, {@link PendingResponse} those of a whole request. Lives as long as the listener;
 * call from the event loop.
 */
final class RequestMemory {

    /** The estimated heap of a request without its body and the texts of its head, bytes. */
    static final int REQUEST_BYTES = 2 * 1024;

    /** The fraction of the process's heap that requests may take. */
    private static final double HEAP_FRACTION = 0.375;

    /** The fraction of that memory that incomplete bodies may take. */
    private static final double INCOMPLETE_FRACTION = 0.5;

    private final MemoryQuota total;
    private final MemoryQuota incomplete;

    /**
     * Creates a memory of which nothing is reserved.
     *
     * @param total the quota of all reservations together
     */
    RequestMemory(MemoryQuota total) {
        this.total = total;
        this.incomplete = new MemoryQuota((long) (total.maxBytes() * INCOMPLETE_FRACTION));
    }

    /** Creates the memory of this process. */
    static RequestMemory ofHeap() {
        return new RequestMemory(MemoryQuota.ofHeap(HEAP_FRACTION));
    }

    /** The bytes that a whole request takes, including its body of {@code bodyBytes}. */
    static int bytesOf(RequestHead head, int bodyBytes) {
        final int keyBytes = head.idempotencyKey() == null ? 0 : head.idempotencyKey().length();
        return REQUEST_BYTES + head.target().length() + keyBytes + bodyBytes;
    }

    /** Reserves bytes for a whole request; returns false if they exceed the limit. */
    boolean reserveRequest(int bytes) {
        return total.reserve(bytes);
    }

    /** Releases bytes that {@link #reserveRequest} reserved. */
    void releaseRequest(int bytes) {
        total.release(bytes);
    }

    /** Reserves bytes for an incomplete body; returns false if they exceed a limit. */
    boolean reserveIncomplete(int bytes) {
        if (!incomplete.reserve(bytes)) {
            return false;
        }
        if (!total.reserve(bytes)) {
            incomplete.release(bytes);
            return false;
        }
        return true;
    }

    /** Releases bytes that {@link #reserveIncomplete} reserved. */
    void releaseIncomplete(int bytes) {
        incomplete.release(bytes);
        total.release(bytes);
    }

    /** The bytes that are reserved now. */
    long inUseBytes() {
        return total.reservedBytes();
    }
}

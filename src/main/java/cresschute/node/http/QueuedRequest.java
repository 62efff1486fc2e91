package cresschute.node.http;

import java.util.concurrent.TimeUnit;

/**
 * A complete request that waits in a {@link RequestSubmitter} because too many requests of its
 * connection are in flight.
 *
 * @param body all of its body
 * @param receivedNs when its last byte was read, by {@link System#nanoTime}
 */
record QueuedRequest(PendingResponse response, RequestHead head, byte[] body, long receivedNs) {

    /** What an entry takes beside its body, bytes. */
    private static final int ENTRY_BYTES = 1024;

    /** What keeping it takes of the listener's limit on queued requests, bytes. */
    int costBytes() {
        return body.length + ENTRY_BYTES;
    }

    /**
     * Its head at a later time: what is left of its client's time, 0 at the least.
     *
     * @param nowNs the present by {@link System#nanoTime}
     */
    RequestHead headAt(long nowNs) {
        final long queuedUs = TimeUnit.NANOSECONDS.toMicros(nowNs - receivedNs);
        return head.withWaitUs(Math.max(0, head.waitUs() - queuedUs));
    }
}

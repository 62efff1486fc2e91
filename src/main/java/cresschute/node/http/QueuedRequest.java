package cresschute.node.http;

import java.util.concurrent.TimeUnit;

/**
 * A complete request that is queued in a {@link RequestSubmitter} because too many requests of its
 * connection are in flight.
 *
 * @param body the whole body
 * @param receivedNs when the last byte of the request was read, by {@link System#nanoTime}
 */
record QueuedRequest(PendingResponse response, RequestHead head, byte[] body, long receivedNs) {

    /** The estimated memory of an entry without its body, bytes. */
    private static final int ENTRY_BYTES = 1024;

    /** The bytes that this request counts against the listener's limit on queued requests. */
    int costBytes() {
        return body.length + ENTRY_BYTES;
    }

    /**
     * Returns the head with the time that the client still waits at {@code nowNs}, at least 0.
     *
     * @param nowNs the current {@link System#nanoTime}
     */
    RequestHead headAt(long nowNs) {
        final long queuedUs = TimeUnit.NANOSECONDS.toMicros(nowNs - receivedNs);
        return head.withWaitUs(Math.max(0, head.waitUs() - queuedUs));
    }
}

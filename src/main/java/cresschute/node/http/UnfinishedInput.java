package cresschute.node.http;

import java.util.function.BooleanSupplier;

/**
 * The memory of the request that one client connection is receiving: its undecoded bytes, its head
 * and its body until the request is whole.
 *
 * <p>Owns its reservations in the {@link RequestMemory}, which may ask it to give up the request
 * for another client's. One per connection; call from the event loop.
 */
final class UnfinishedInput {

    private final RequestMemory memory;
    private final Runnable giveUp;
    private final BooleanSupplier hasTaken;
    private int headBytes;
    private int bodyBytes;

    /** Since when it has held memory, by {@link System#nanoTime}. */
    private long heldSinceNs;

    /**
     * Creates the empty input of a connection.
     *
     * @param giveUp ends the request that is being received, and releases this input
     * @param hasTaken whether the connection has earlier requests without a response
     */
    UnfinishedInput(RequestMemory memory, Runnable giveUp, BooleanSupplier hasTaken) {
        this.memory = memory;
        this.giveUp = giveUp;
        this.hasTaken = hasTaken;
    }

    /** Creates an empty input that never gives way. */
    UnfinishedInput(RequestMemory memory) {
        this(memory, () -> {}, () -> true);
    }

    /**
     * Sets the memory that the undecoded bytes and the head take now, bytes.
     *
     * @return false if there is no memory for them; nothing changes then
     */
    boolean setHeadBytes(int bytes) {
        if (bytes > headBytes && !reserve(bytes - headBytes)) {
            return false;
        }
        if (bytes < headBytes) {
            release(headBytes - bytes);
        }
        headBytes = bytes;
        return true;
    }

    /** Reserves more memory for the body; returns false if there is none. */
    boolean reserveBody(int bytes) {
        if (!reserve(bytes)) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    /** Releases the memory of the body, which is handed over or dropped. */
    void releaseBody() {
        release(bodyBytes);
        bodyBytes = 0;
    }

    private boolean reserve(int bytes) {
        if (heldBytes() == 0) {
            heldSinceNs = System.nanoTime();
        }
        return memory.reserveIncomplete(this, bytes);
    }

    private void release(int bytes) {
        memory.releaseIncomplete(this, bytes);
    }

    /** The bytes that it holds now. */
    int heldBytes() {
        return headBytes + bodyBytes;
    }

    /** Whether the connection has earlier requests without a response. */
    boolean hasTakenRequests() {
        return hasTaken.getAsBoolean();
    }

    /**
     * How much it weighs when memory is short: bytes, times the time for which it has held memory.
     * A request that arrives without pause weighs little.
     */
    double weight(long nowNs) {
        return (double) heldBytes() * (nowNs - heldSinceNs);
    }

    /** Ends the request that is being received, and releases all memory. */
    void giveUp() {
        giveUp.run();
        clear();
    }

    /** Releases all memory. */
    void clear() {
        releaseBody();
        setHeadBytes(0);
    }
}

package cresschute.node.http;

import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;

/**
 * What the users of one kind take of the {@link MemoryAccount} together. Whoever reserves bytes
 * releases them. Call from the event loop.
 */
final class MemoryQuota {

    private final MemoryAccount account;
    private final MemoryUse use;

    /** Creates the quota of this use of the account. */
    MemoryQuota(MemoryAccount account, MemoryUse use) {
        this.account = account;
        this.use = use;
    }

    /**
     * Creates a quota in an account of its own.
     *
     * @param maxBytes the limit of all reservations together, bytes
     */
    MemoryQuota(long maxBytes) {
        this(new MemoryAccount(maxBytes), MemoryUse.WORKER_LINES);
    }

    /** The bytes that are reserved now. */
    long reservedBytes() {
        return account.inUseBytes(use);
    }

    /** Reserves bytes; returns false, and reserves nothing, if they exceed the limit. */
    boolean reserve(int bytes) {
        return account.reserve(use, bytes);
    }

    /** Releases reserved bytes. */
    void release(int bytes) {
        account.release(use, bytes);
    }

    /** Counts a reservation that was refused for good. */
    void countRefused() {
        account.countRefused(use);
    }
}

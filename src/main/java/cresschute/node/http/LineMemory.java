package cresschute.node.http;

import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory of the unfinished lines of all workers. An attempt whose line does not fit stops
 * reading its worker, whose bytes wait in the socket, until other lines release memory. A few
 * waiting attempts at a time, the longest wait first, may go beyond the quota: so some line always
 * ends, and memory is released.
 *
 * <p>Owns the waiting attempts and the permits. One per pool; call from the event loop.
 */
final class LineMemory {

    /** How many attempts may go beyond the quota at a time. */
    static final int MAX_PERMITS = 8;

    private final MemoryQuota quota;
    private final Set<Waiter> waiting = new LinkedHashSet<>();
    private final Set<Waiter> permitted = new LinkedHashSet<>();
    private boolean resuming;

    /** An attempt that waits for memory. */
    interface Waiter {

        /** Called when there may be memory for the line; waits again if there is not. */
        void memoryAvailable();
    }

    /** Creates the memory in this quota. */
    LineMemory(MemoryQuota quota) {
        this.quota = quota;
    }

    /**
     * The bytes that lines take beyond the quota of their use at most.
     *
     * @see MemoryAccount
     * @see MemoryUse#WORKER_LINES
     */
    static int maxBeyondBytes() {
        return MAX_PERMITS * ProgressLineReader.MAX_BYTES;
    }

    MemoryQuota quota() {
        return quota;
    }

    /** Whether this attempt may go beyond the quota. */
    boolean isPermitted(Waiter attempt) {
        return permitted.contains(attempt);
    }

    /** Waits for memory, or gets a permit at once if one is free. */
    void await(Waiter attempt) {
        waiting.add(attempt);
        resumeNext();
    }

    /** Forgets an attempt that has ended or whose line is complete, and lets others go on. */
    void ended(Waiter attempt) {
        waiting.remove(attempt);
        permitted.remove(attempt);
        resumeNext();
    }

    private void resumeNext() {
        if (resuming) {
            return;
        }
        resuming = true;
        try {
            while (!waiting.isEmpty() && permitted.size() < MAX_PERMITS) {
                final Waiter next = waiting.iterator().next();
                waiting.remove(next);
                permitted.add(next);
                next.memoryAvailable();
            }
        } finally {
            resuming = false;
        }
    }
}

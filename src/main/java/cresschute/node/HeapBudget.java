package cresschute.node;

import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;

/**
 * Divides the heap of the process among what peers can make the node hold. The rest of the heap is
 * for the node's own state and for garbage.
 *
 * <p>Open connections take a part by their number, which the descriptors bound, so that part is
 * kept free for them. Unfinished lines of workers have a part of their own. Requests, unfinished
 * input, responses and ids share what is left, and unfinished input may take a part of it only.
 *
 * @param heapBytes the heap that the process may use, bytes
 * @param descriptors the numbers of connections
 */
public record HeapBudget(long heapBytes, DescriptorBudget descriptors) {

    /** The fraction of the heap that is accounted for. */
    private static final double ACCOUNTED_FRACTION = 0.7;

    /** The fraction that open connections may take at most. */
    private static final double CONNECTIONS_FRACTION = 0.2;

    private static final double LINES_FRACTION = 0.125;

    /** The fraction that unfinished input may take at most. */
    private static final double UNFINISHED_FRACTION = 0.1875;

    private static final double IDS_FRACTION = 0.03125;

    /** The estimated heap of a client's connection without its requests, bytes. */
    public static final int CLIENT_CONNECTION_BYTES = 12 * 1024;

    /** The estimated heap of a worker's connection without its attempt, bytes. */
    public static final int WORKER_CONNECTION_BYTES = 8 * 1024;

    /** Connections that are accepted, or are still being closed, beyond the limit. */
    private static final int ACCEPTED_BEYOND_LIMIT = 64;

    /** The budget of this process. */
    static HeapBudget ofProcess(DescriptorBudget descriptors) {
        return new HeapBudget(Runtime.getRuntime().maxMemory(), descriptors);
    }

    /** Creates the account with all bounds. */
    MemoryAccount account() {
        final long clients =
                (long) (descriptors.clientConnections() + ACCEPTED_BEYOND_LIMIT)
                        * CLIENT_CONNECTION_BYTES;
        final long workers = (long) descriptors.workerConnections() * WORKER_CONNECTION_BYTES;
        final double scale = Math.min(1, part(CONNECTIONS_FRACTION) / (double) (clients + workers));
        final long lines = part(LINES_FRACTION);
        return new MemoryAccount(part(ACCOUNTED_FRACTION))
                .bound(MemoryUse.CLIENT_CONNECTIONS, (long) (clients * scale), clients)
                .bound(MemoryUse.WORKER_CONNECTIONS, (long) (workers * scale), workers)
                .bound(MemoryUse.WORKER_LINES, lines, lines)
                .bound(MemoryUse.UNFINISHED_INPUT, 0, part(UNFINISHED_FRACTION))
                .bound(MemoryUse.REQUEST_IDS, 0, part(IDS_FRACTION));
    }

    private long part(double fraction) {
        return (long) (heapBytes * fraction);
    }
}

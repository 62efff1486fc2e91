package cresschute.node.http;

import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;
import cresschute.node.HeapBudget;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory that clients' requests and responses take, and what gives way when it is short:
 *
 * <ol>
 *   <li>unfinished requests of connections that have nothing taken, those that have held most for
 *       longest first; then unfinished requests of other connections. A request gives way only to
 *       one that weighs less ({@link UnfinishedInput#weight});
 *   <li>connections whose client has not taken a response for {@value #SLOW_READER_MS} ms, the
 *       longest wait first, and for another response alone;
 *   <li>what asked for the memory: a request is rejected, a response is replaced by a short one.
 * </ol>
 *
 * <p>A request that was taken never gives way. Owns the set of inputs that hold memory, and of
 * responses that their client has not taken. Lives as long as the listener; call from the event
 * loop.
 */
final class RequestMemory {

    /** The estimated heap of a request without its body and the texts of its head, bytes. */
    static final int REQUEST_BYTES = 2 * 1024;

    /** How long a client may take for a response before it gives way to others, ms. */
    private static final long SLOW_READER_MS = 500;

    private static final long NS_PER_MS = 1_000_000;

    private final MemoryAccount account;
    private final Set<UnfinishedInput> inputs = new LinkedHashSet<>();
    private final Set<UntakenResponse> untaken = new LinkedHashSet<>();

    /** A response that was handed to its connection and that the client has not taken yet. */
    static final class UntakenResponse {
        private final long sinceNs = System.nanoTime();
        private final Runnable close;

        private UntakenResponse(Runnable close) {
            this.close = close;
        }
    }

    /** Creates a memory that reserves in this account. */
    RequestMemory(MemoryAccount account) {
        this.account = account;
    }

    /** The bytes that a whole request takes, including its body of {@code bodyBytes}. */
    static int bytesOf(RequestHead head, int bodyBytes) {
        final int keyBytes = head.idempotencyKey() == null ? 0 : head.idempotencyKey().length();
        return REQUEST_BYTES + head.target().length() + keyBytes + bodyBytes;
    }

    // ---- Connections ----

    /** Reserves the memory of a connection; returns false if there is none. */
    boolean reserveConnection() {
        return reserve(MemoryUse.CLIENT_CONNECTIONS, HeapBudget.CLIENT_CONNECTION_BYTES, null);
    }

    /** Releases the memory of a connection that {@link #reserveConnection} reserved. */
    void releaseConnection() {
        account.release(MemoryUse.CLIENT_CONNECTIONS, HeapBudget.CLIENT_CONNECTION_BYTES);
    }

    // ---- Requests ----

    /** Reserves bytes for a whole request; returns false if there is no memory for it. */
    boolean reserveRequest(int bytes) {
        return reserve(MemoryUse.REQUESTS, bytes, null);
    }

    /** Releases bytes that {@link #reserveRequest} reserved. */
    void releaseRequest(int bytes) {
        account.release(MemoryUse.REQUESTS, bytes);
    }

    /** Reserves bytes for an unfinished request; returns false if there is no memory for it. */
    boolean reserveIncomplete(UnfinishedInput input, int bytes) {
        if (!reserve(MemoryUse.UNFINISHED_INPUT, bytes, input)) {
            return false;
        }
        inputs.add(input);
        return true;
    }

    /** Releases bytes that {@link #reserveIncomplete} reserved, before the input forgets them. */
    void releaseIncomplete(UnfinishedInput input, int bytes) {
        account.release(MemoryUse.UNFINISHED_INPUT, bytes);
        if (input.heldBytes() == bytes) {
            inputs.remove(input);
        }
    }

    private boolean reserve(MemoryUse use, int bytes, UnfinishedInput requester) {
        while (!account.reserve(use, bytes)) {
            if (!giveUpInput(requester)) {
                account.countRefused(use);
                return false;
            }
        }
        return true;
    }

    /** Gives up the input that weighs most; returns false if that is the requester's or none. */
    private boolean giveUpInput(UnfinishedInput requester) {
        final long nowNs = System.nanoTime();
        UnfinishedInput heaviest = requester;
        for (final UnfinishedInput each : inputs) {
            if (heaviest == null || goesBefore(each, heaviest, nowNs)) {
                heaviest = each;
            }
        }
        if (heaviest == requester || heaviest == null) {
            return false;
        }
        account.countGivenUp(MemoryUse.UNFINISHED_INPUT);
        heaviest.giveUp();
        return true;
    }

    private static boolean goesBefore(UnfinishedInput input, UnfinishedInput other, long nowNs) {
        if (input.hasTakenRequests() != other.hasTakenRequests()) {
            return !input.hasTakenRequests();
        }
        return input.weight(nowNs) > other.weight(nowNs);
    }

    // ---- Responses ----

    /** Reserves bytes for a response; returns false if there is no memory for it. */
    boolean reserveResponse(int bytes) {
        while (!account.reserve(MemoryUse.RESPONSES, bytes)) {
            if (!giveUpInput(null) && !closeSlowestReader()) {
                account.countRefused(MemoryUse.RESPONSES);
                return false;
            }
        }
        return true;
    }

    /** Releases bytes that {@link #reserveResponse} reserved. */
    void releaseResponse(int bytes) {
        account.release(MemoryUse.RESPONSES, bytes);
    }

    /**
     * Notes that a response was handed to its connection.
     *
     * @param close closes the connection, which releases the response
     * @return for {@link #taken}
     */
    UntakenResponse handed(Runnable close) {
        final UntakenResponse response = new UntakenResponse(close);
        untaken.add(response);
        return response;
    }

    /** Notes that a response was written, or that its connection has ended. */
    void taken(UntakenResponse response) {
        untaken.remove(response);
    }

    private boolean closeSlowestReader() {
        final Iterator<UntakenResponse> oldestFirst = untaken.iterator();
        if (!oldestFirst.hasNext()) {
            return false;
        }
        final UntakenResponse oldest = oldestFirst.next();
        if (System.nanoTime() - oldest.sinceNs < SLOW_READER_MS * NS_PER_MS) {
            return false;
        }
        oldestFirst.remove();
        account.countGivenUp(MemoryUse.RESPONSES);
        oldest.close.run();
        return true;
    }

    /** The bytes that requests and responses have reserved now. */
    long inUseBytes() {
        return account.inUseBytes(MemoryUse.UNFINISHED_INPUT)
                + account.inUseBytes(MemoryUse.REQUESTS)
                + account.inUseBytes(MemoryUse.RESPONSES);
    }
}

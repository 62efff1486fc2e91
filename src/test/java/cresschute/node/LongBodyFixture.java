package cresschute.node;

import cresschute.settings.NodeSettings.Bodies;
import cresschute.settings.NodeSettings.ClassBodies;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Shared by the tests of long bodies and long results: limits, request heads, and the bytes that a
 * node buffers.
 */
final class LongBodyFixture {

    static final int KIB = 1024;
    static final int MIB = KIB * KIB;
    static final long BUDGET = 16 * MIB;

    /** Most bytes that one body or result may buffer: its window and what it may borrow. */
    static final long MAX_BYTES_PER_BODY = 256 * KIB;

    static final long LONG_STALL_TIMEOUT_US = 20_000_000;

    private static final long WINDOW = 128 * KIB;
    private static final long SPOOL = 160 * KIB;

    /** I/O of a peer that runs in another thread, where it may fail. */
    interface IoAction {
        void run() throws IOException;
    }

    private LongBodyFixture() {}

    static Bodies bodies(ClassBodies each) {
        return new Bodies(
                BUDGET,
                WINDOW,
                MAX_BYTES_PER_BODY - WINDOW,
                SPOOL,
                3 * WINDOW,
                List.of(each, each));
    }

    static TestNode bodies(long stallUs, int sends) throws Exception {
        return new TestNode(bodies(new ClassBodies(64 * MIB, KIB, stallUs, false, false)), sends);
    }

    static TestNode results(long stallUs, boolean deadlineToFirst) throws Exception {
        return new TestNode(
                bodies(new ClassBodies(64 * MIB, KIB, stallUs, true, deadlineToFirst)), 1);
    }

    /** The head of a request with a body of this length, or a chunked one if it is below 0. */
    static String head(String id, long length, String headers) {
        return "POST /check?obj=2a HTTP/1.1\r\nHost: api\r\nX-Request-Id: "
                + id
                + "\r\n"
                + headers
                + (length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length)
                + "\r\n\r\n";
    }

    static CompletableFuture<Void> runAsync(IoAction action) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        action.run();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    /** Bytes of the budget that long bodies own or have borrowed. */
    static long bufferedBytes(TestNode node) throws Exception {
        return node.server.loop().submit(node.server::bodyBytes).get(8, TimeUnit.SECONDS);
    }

    /** Waits until no bytes of any body are buffered or reserved. */
    static void awaitNoBufferedBytes(TestNode node) throws Exception {
        while (bufferedBytes(node) > 0) {
            Thread.onSpinWait();
        }
    }
}

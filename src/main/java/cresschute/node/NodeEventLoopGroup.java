package cresschute.node;

import cresschute.logs.LogEvent;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The group of a node's one event loop, which goes on after any exception or error: of a handler,
 * of a task or timer, of the queues themselves, or of the log line about another error. What the
 * failed pass left undone is done by the next one.
 *
 * <p>An {@link OutOfMemoryError} first releases a {@link HeapReserve}, so that the loop has memory
 * to go on with. A loop that fails {@value #MAX_FAILURES} times within a second ends for good, and
 * whoever created the group is told, on the loop's thread.
 */
final class NodeEventLoopGroup extends MultiThreadIoEventLoopGroup {

    /** The number of failures within a second after which the loop ends. */
    static final int MAX_FAILURES = 200;

    private static final Logger LOG = System.getLogger("cresschute.node");

    /** Called when the thread of the loop ends. */
    interface EndListener {

        /**
         * The loop's thread ends.
         *
         * @param cause what ended it, or null if it was shut down
         */
        void loopEnded(Throwable cause);
    }

    /**
     * Creates a group with one loop.
     *
     * @param reserve released when memory has run out
     */
    NodeEventLoopGroup(IoHandlerFactory handlers, HeapReserve reserve, EndListener listener) {
        super(1, threadFactory(listener), handlers, reserve);
    }

    private static ThreadFactory threadFactory(EndListener listener) {
        return new DefaultThreadFactory("node-loop") {
            @Override
            public Thread newThread(Runnable loop) {
                return super.newThread(
                        () -> {
                            Throwable cause = null;
                            try {
                                loop.run();
                            } catch (Throwable e) {
                                cause = e;
                            }
                            listener.loopEnded(cause);
                        });
            }
        };
    }

    @Override
    protected IoEventLoop newChild(
            Executor executor, IoHandlerFactory handlers, Object... arguments) {
        return new NodeEventLoop(this, executor, handlers, (HeapReserve) arguments[0]);
    }

    /** A loop that goes on after failures. */
    private static final class NodeEventLoop extends SingleThreadIoEventLoop {

        private static final long FAILURE_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

        private final HeapReserve reserve;
        private int failures;
        private long intervalStartNs;

        private NodeEventLoop(
                IoEventLoopGroup parent,
                Executor executor,
                IoHandlerFactory handlers,
                HeapReserve reserve) {
            super(parent, executor, handlers);
            this.reserve = reserve;
        }

        @Override
        protected void run() {
            while (true) {
                try {
                    super.run();
                    return;
                } catch (Throwable e) {
                    if (hasFailedTooOften()) {
                        throw e;
                    }
                    reserve.releaseAfter(e);
                    logIfPossible(e);
                }
            }
        }

        private boolean hasFailedTooOften() {
            final long nowNs = System.nanoTime();
            if (nowNs - intervalStartNs > FAILURE_INTERVAL_NS) {
                intervalStartNs = nowNs;
                failures = 0;
            }
            return ++failures > MAX_FAILURES;
        }

        /** Logging needs memory too, and must not end the loop. */
        private static void logIfPossible(Throwable cause) {
            try {
                LogEvent.of("loop_error", "an error outside the handlers of the event loop")
                        .withCause(cause)
                        .log(LOG, Level.ERROR);
            } catch (Throwable e) {
                // The next status line shows the count of released reserves.
            }
        }
    }
}

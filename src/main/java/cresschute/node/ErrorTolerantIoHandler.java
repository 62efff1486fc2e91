package cresschute.node;

import cresschute.logs.LogEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

/**
 * Waits for sockets and handles them through another handler, and goes on after an {@link Error} of
 * one of them. Without it the first one ends the event loop, and with it the process and all
 * requests. What the failed pass left unhandled is ready again at the next one.
 *
 * <p>Owns the time of the last log line. One per event loop; all methods but {@link #wakeup} run on
 * its thread.
 */
final class ErrorTolerantIoHandler implements IoHandler {

    private static final long MIN_LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(5);
    private static final Logger LOG = System.getLogger("cresschute.node");

    private final IoHandler delegate;
    private final HeapReserve reserve;
    private long failures;
    private long loggedNs;

    private ErrorTolerantIoHandler(IoHandler delegate, HeapReserve reserve) {
        this.delegate = delegate;
        this.reserve = reserve;
    }

    /**
     * Returns a factory whose handlers tolerate the errors of those of another factory.
     *
     * @param reserve released when memory has run out
     */
    static IoHandlerFactory factory(IoHandlerFactory delegates, HeapReserve reserve) {
        return executor -> new ErrorTolerantIoHandler(delegates.newHandler(executor), reserve);
    }

    @Override
    public int run(IoHandlerContext context) {
        try {
            return delegate.run(context);
        } catch (Error e) {
            failures++;
            reserve.releaseAfter(e);
            logUnlessRecent(e);
            return 0;
        }
    }

    private void logUnlessRecent(Error cause) {
        final long nowNs = System.nanoTime();
        if (failures > 1 && nowNs - loggedNs < MIN_LOG_INTERVAL_NS) {
            return;
        }
        loggedNs = nowNs;
        LogEvent.of(
                        "loop_error",
                        "an error on the event loop (" + failures + " so far); continuing")
                .with("count", failures)
                .withCause(cause)
                .log(LOG, Level.ERROR);
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }
}

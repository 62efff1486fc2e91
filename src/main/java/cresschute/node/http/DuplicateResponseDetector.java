package cresschute.node.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects a duplicate of the previous exchange's response on a reused connection, which would
 * otherwise be taken for the response to the current exchange.
 *
 * <p>A worker may send a response a second time shortly after the first. A response with status 200
 * carries the request ID in its lines; with any other status it carries none. If the current
 * exchange started within {@value #DUPLICATE_WINDOW_MS} ms after the previous one, a response with
 * another status than 200 is therefore held. If another response follows, the held one was a
 * duplicate. If none follows within {@value #ACCEPT_DELAY_MS} ms of its end, it is accepted as the
 * response to the current exchange.
 *
 * <p>One per connection, used for one exchange after the other; owns the timer of the held
 * response. Call from the connection's event loop.
 */
final class DuplicateResponseDetector {

    /**
     * An exchange that starts within this time after the previous response may receive a duplicate
     * of it, ms.
     */
    static final long DUPLICATE_WINDOW_MS = 100;

    /** Delay from the end of a held response until it is accepted if nothing follows, ms. */
    static final long ACCEPT_DELAY_MS = 50;

    private boolean duplicatePossible;
    private boolean duplicateSeen;

    /** The head of a response that may be a duplicate, or null. */
    private HttpResponse heldResponse;

    /** Accepts the held response; null until the end of that response is read. */
    private Future<?> acceptTimer;

    /**
     * Notes that an exchange starts on a reused connection.
     *
     * @param idleNs how long the connection was idle
     */
    void exchangeStarted(long idleNs) {
        duplicatePossible = idleNs < TimeUnit.MILLISECONDS.toNanos(DUPLICATE_WINDOW_MS);
    }

    /** Whether received data may belong to the previous exchange. */
    boolean isDuplicatePossible() {
        return duplicatePossible;
    }

    /** Whether this connection has received more responses than it sent requests. */
    boolean hasSeenDuplicate() {
        return duplicateSeen;
    }

    /** Notes that a response belonged to the previous exchange. */
    void duplicateSeen() {
        duplicatePossible = false;
        duplicateSeen = true;
    }

    /**
     * Notes that the head of a response was received, before {@link #holdIfSuspect}.
     *
     * @return whether a response was held, which is thereby known to be a duplicate
     */
    boolean headReceived() {
        cancel();
        acceptTimer = null;
        if (heldResponse == null) {
            return false;
        }
        heldResponse = null;
        duplicateSeen();
        return true;
    }

    /**
     * Holds a response if it may be a duplicate.
     *
     * @return whether it is held
     */
    boolean holdIfSuspect(HttpResponse response) {
        if (duplicatePossible && !response.status().equals(HttpResponseStatus.OK)) {
            heldResponse = response;
            return true;
        }
        return false;
    }

    /** Whether a response is held, so that its content must not be passed to the exchange. */
    boolean isHolding() {
        return heldResponse != null;
    }

    /**
     * Starts the timer that accepts the held response, whose end was read.
     *
     * @param accept called unless another response is received in time; must call {@link #accept}
     */
    void heldResponseEnded(EventLoop loop, Runnable accept) {
        acceptTimer = loop.schedule(accept, ACCEPT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Accepts the held response as that of the current exchange, and returns its head. */
    HttpResponse accept() {
        final HttpResponse accepted = heldResponse;
        heldResponse = null;
        acceptTimer = null;
        duplicatePossible = false;
        return accepted;
    }

    /** Cancels the timer: a held response is neither accepted nor counted as a duplicate. */
    void cancel() {
        if (acceptTimer != null) {
            acceptTimer.cancel(false);
        }
    }
}

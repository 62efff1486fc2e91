package cresschute.node.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects a second response to the exchange before on a reused connection, which would otherwise be
 * taken for the response to the present one.
 *
 * <p>Soon after a response, its connection may bring that response once more. Until then a response
 * that names no request, one with another status than 200, is held: if another response follows, it
 * was a duplicate; if none follows within {@value #ACCEPT_DELAY_MS} ms of its end, it is accepted
 * as the present exchange's. A response with status 200 names its request in its lines.
 *
 * <p>One per connection, used for one exchange after the other; owns the timer of the held
 * response. Call from the connection's event loop.
 */
final class DuplicateResponseDetector {

    /**
     * How soon after a response an exchange on its connection may still meet that response a second
     * time, ms.
     */
    static final long DUPLICATE_WINDOW_MS = 100;

    /** How long after its end a held response is accepted if nothing follows, ms. */
    static final long ACCEPT_DELAY_MS = 50;

    private boolean duplicatePossible;
    private boolean duplicateSeen;

    /** The head of a response that may be a duplicate, or null. */
    private HttpResponse heldResponse;

    /** Accepts the held response, or null while its end is not read. */
    private Future<?> acceptTimer;

    /**
     * An exchange begins on a reused connection.
     *
     * @param idleNs how long the connection was idle
     */
    void exchangeStarted(long idleNs) {
        duplicatePossible = idleNs < TimeUnit.MILLISECONDS.toNanos(DUPLICATE_WINDOW_MS);
    }

    /** Whether what is received may belong to the exchange before. */
    boolean isDuplicatePossible() {
        return duplicatePossible;
    }

    /** Whether more responses than requests were received on this connection. */
    boolean hasSeenDuplicate() {
        return duplicateSeen;
    }

    /** A response turned out to belong to the exchange before. */
    void duplicateSeen() {
        duplicatePossible = false;
        duplicateSeen = true;
    }

    /**
     * The head of a response was received.
     *
     * @return whether the one held before it is a duplicate by this
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

    /** Whether a response is held, so that its content is held too. */
    boolean isHolding() {
        return heldResponse != null;
    }

    /**
     * The held response has ended.
     *
     * @param accept called unless another response is received in time; calls {@link #accept}
     */
    void heldResponseEnded(EventLoop loop, Runnable accept) {
        acceptTimer = loop.schedule(accept, ACCEPT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Accepts the held response as the present exchange's, and returns its head. */
    HttpResponse accept() {
        final HttpResponse accepted = heldResponse;
        heldResponse = null;
        acceptTimer = null;
        duplicatePossible = false;
        return accepted;
    }

    /** Cancels the timer: a held response is neither accepted nor taken for a duplicate. */
    void cancel() {
        if (acceptTimer != null) {
            acceptTimer.cancel(false);
        }
    }
}

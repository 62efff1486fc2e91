package cresschute.node.http;

import cresschute.node.RequestContent;
import cresschute.node.RequestLifecycle;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Submits the complete requests of one client connection to the {@link RequestLifecycle}, in the
 * order in which they arrived, and queues those beyond the limit on pipelined requests in flight.
 *
 * <p>Queued requests are read from the socket rather than left there: with reading paused the close
 * of a client would go unnoticed. What they take counts against a limit of all connections together
 * ({@link ClientListener#reserveQueued}); beyond it a request is rejected. This class owns the
 * reservations and returns each of them once.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class RequestSubmitter {

    /** Requests of one connection that may be in flight at a time. */
    static final int MAX_IN_FLIGHT = 16;

    private static final byte[] NO_BODY = new byte[0];

    private final ClientListener listener;
    private final Runnable onSubmitted;

    /** Requests that are not submitted; their responses are the last ones of the connection. */
    private final Deque<QueuedRequest> queued = new ArrayDeque<>();

    /**
     * A submitter with an empty queue.
     *
     * @param onSubmitted called for each request that the life cycle takes
     */
    RequestSubmitter(ClientListener listener, Runnable onSubmitted) {
        this.listener = listener;
        this.onSubmitted = onSubmitted;
    }

    /**
     * Submits a complete request, or queues it where too many are in flight; rejects it where the
     * queues of all connections are full.
     *
     * @param unanswered requests of this connection without a response, this one and queued ones
     *     included
     */
    void submitOrQueue(PendingResponse response, RequestHead head, byte[] body, int unanswered) {
        if (queued.isEmpty() && unanswered <= MAX_IN_FLIGHT) {
            submit(response, head, body, null);
            return;
        }
        final QueuedRequest next = new QueuedRequest(response, head, body, System.nanoTime());
        if (listener.reserveQueued(next.costBytes())) {
            queued.add(next);
        } else {
            response.reject(listener.lifecycle().retryAfterUs());
        }
    }

    /** Submits a request whose body is passed on to the worker while it arrives. */
    void submitStreamed(PendingResponse response, RequestHead head, StreamedRequestBody body) {
        submit(response, head, NO_BODY, body);
    }

    /**
     * Submits the next queued request if fewer than {@value #MAX_IN_FLIGHT} are in flight.
     *
     * @param unanswered requests of this connection without a response, queued ones included
     * @return whether there was one to submit
     */
    boolean submitNext(int unanswered) {
        if (queued.isEmpty() || unanswered - queued.size() >= MAX_IN_FLIGHT) {
            return false;
        }
        final QueuedRequest next = queued.poll();
        listener.releaseQueued(next.costBytes());
        submit(next.response(), next.headAt(System.nanoTime()), next.body(), null);
        return true;
    }

    private void submit(
            PendingResponse response, RequestHead head, byte[] body, StreamedRequestBody streamed) {
        // A second request under an open one's id would be rejected by the workers along with the
        // attempts of the first, and both would count against the workers' health.
        if (listener.lifecycle().isOpen(head.requestId())) {
            response.fail(HttpResponseStatus.CONFLICT, "X-Request-Id is in use");
        } else if (!response.reserveStreamedResult(head)) {
            response.reject(listener.lifecycle().retryAfterUs());
        } else {
            onSubmitted.run();
            response.submitted(
                    listener.lifecycle()
                            .submit(
                                    new RequestContent(
                                            head.requestId(),
                                            head.target(),
                                            head.idempotencyKey(),
                                            body,
                                            streamed),
                                    head.job(),
                                    head.waitUs(),
                                    response));
        }
    }

    /** Drops all queued requests; their responses are left to the caller. */
    void clear() {
        queued.forEach(each -> listener.releaseQueued(each.costBytes()));
        queued.clear();
    }
}

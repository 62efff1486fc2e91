package cresschute.node.http;

import cresschute.node.RequestContent;
import cresschute.node.RequestLifecycle;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/**
 * Submits the complete requests of one client connection to the {@link RequestLifecycle} in the
 * order of their arrival, and queues requests beyond the limit on pipelined requests in flight.
 *
 * <p>Queued requests are read from the socket rather than left there, because the node would not
 * notice a client's close while reading is paused. Their memory counts against a limit for all
 * connections together ({@link ClientListener#queuedMemory}); a request beyond it is rejected. This
 * class owns the reservations and releases each of them once.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class RequestSubmitter {

    /** The maximum number of requests of one connection that are in flight at a time. */
    static final int MAX_IN_FLIGHT = 16;

    private static final byte[] NO_BODY = new byte[0];

    private final ClientListener listener;
    private final Runnable onSubmitted;

    /**
     * Requests that are not submitted yet; their responses are the last ones in the response queue.
     */
    private final Deque<QueuedRequest> queued = new ArrayDeque<>();

    /**
     * Creates a submitter with an empty queue.
     *
     * @param onSubmitted called for each request that the request lifecycle takes
     */
    RequestSubmitter(ClientListener listener, Runnable onSubmitted) {
        this.listener = listener;
        this.onSubmitted = onSubmitted;
    }

    /**
     * Submits a complete request, or queues it if too many are in flight. Rejects it if there is no
     * memory for it, or if the queues of all connections together are full.
     *
     * @param unanswered the number of requests of this connection without a response, including
     *     this one and queued ones
     */
    void submitOrQueue(PendingResponse response, RequestHead head, byte[] body, int unanswered) {
        if (!response.reserveMemory(RequestMemory.bytesOf(head, body.length))) {
            listener.reportMemoryExceeded("rejecting a client's request");
            response.reject(listener.lifecycle().retryAfterUs());
            return;
        }
        if (queued.isEmpty() && unanswered <= MAX_IN_FLIGHT) {
            submit(response, head, body, null);
            return;
        }
        final QueuedRequest next = new QueuedRequest(response, head, body, System.nanoTime());
        if (listener.queuedMemory().reserve(next.costBytes())) {
            queued.add(next);
        } else {
            response.reject(listener.lifecycle().retryAfterUs());
        }
    }

    /** Submits a request whose body is forwarded to the worker while it arrives. */
    void submitStreamed(PendingResponse response, RequestHead head, StreamedRequestBody body) {
        submit(response, head, NO_BODY, body);
    }

    /**
     * Submits the next queued request if fewer than {@value #MAX_IN_FLIGHT} are in flight.
     *
     * @param unanswered the number of requests of this connection without a response, including
     *     queued ones
     * @return whether a request was submitted
     */
    boolean submitNext(int unanswered) {
        if (queued.isEmpty() || unanswered - queued.size() >= MAX_IN_FLIGHT) {
            return false;
        }
        final QueuedRequest next = queued.poll();
        listener.queuedMemory().release(next.costBytes());
        submit(next.response(), next.headAt(System.nanoTime()), next.body(), null);
        return true;
    }

    private void submit(
            PendingResponse response, RequestHead head, byte[] body, StreamedRequestBody streamed) {
        // Workers would reject a second request with the id of an open one, together with the
        // attempts of the first, and both rejections would count against the workers' health.
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

    /** Adds the numbers of the classes of the queued requests. */
    void addQueuedClassesTo(Set<Integer> numbers) {
        queued.forEach(each -> numbers.add(each.head().job().requestClass()));
    }

    /** Drops all queued requests; the caller completes or drops their responses. */
    void clear() {
        queued.forEach(each -> listener.queuedMemory().release(each.costBytes()));
        queued.clear();
    }
}

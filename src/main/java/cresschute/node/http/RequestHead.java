package cresschute.node.http;

import cresschute.dispatch.Job;

/**
 * The head of a valid request.
 *
 * @param requestId the id that the client gave the request, not empty
 * @param target the path and query as the client sent them
 * @param idempotencyKey the key as the client sent it, or null
 * @param job the request in the dispatcher's terms
 * @param waitUs how long the client still waits for the response, us
 */
record RequestHead(String requestId, String target, String idempotencyKey, Job job, long waitUs) {

    /** Returns a copy of this head with another wait time, us. */
    RequestHead withWaitUs(long nextWaitUs) {
        return new RequestHead(requestId, target, idempotencyKey, job, nextWaitUs);
    }
}

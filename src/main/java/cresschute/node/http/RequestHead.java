package cresschute.node.http;

import cresschute.dispatch.Job;

/**
 * The head of a valid request.
 *
 * @param requestId the client's id of it, not empty
 * @param target path and query as the client sent them
 * @param idempotencyKey the key as the client sent it, or null
 * @param job the request in the dispatcher's terms
 * @param waitUs how long the client waits for the response from now on, us
 */
record RequestHead(String requestId, String target, String idempotencyKey, Job job, long waitUs) {

    /** The same head with another time to wait, us. */
    RequestHead withWaitUs(long nextWaitUs) {
        return new RequestHead(requestId, target, idempotencyKey, job, nextWaitUs);
    }
}

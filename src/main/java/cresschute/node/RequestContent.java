package cresschute.node;

/**
 * The content of a request that is passed on unchanged from the client to a worker. Immutable
 * except for a long body, which is used on the event loop.
 *
 * @param requestId the id that the client gave the request
 * @param target the target of the request, as the client named it
 * @param idempotencyKey the idempotency key of a keyed class, or null
 * @param body the complete body; empty if the body is long
 * @param longBody the body if it is passed on as it arrives, else null
 */
public record RequestContent(
        String requestId, String target, String idempotencyKey, byte[] body, RequestBody longBody) {

    /**
     * Creates the content of a request whose body has been read completely.
     *
     * @param requestId the id that the client gave the request
     * @param target the target of the request, as the client named it
     * @param idempotencyKey the idempotency key of a keyed class, or null
     * @param body the complete body
     */
    public RequestContent(String requestId, String target, String idempotencyKey, byte[] body) {
        this(requestId, target, idempotencyKey, body, null);
    }

    /** Returns true if an attempt can still send the body from its first byte. */
    boolean isReplayable() {
        return longBody == null || longBody.isReplayable();
    }
}

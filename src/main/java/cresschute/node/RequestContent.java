package cresschute.node;

/**
 * What is passed on unchanged from the client to a worker. Immutable but for a long body, which is
 * used on the event loop.
 *
 * @param requestId the id that the client gave the request
 * @param target the target of the request, as the client named it
 * @param idempotencyKey the idempotency key of a keyed class, or null
 * @param body the complete body; empty where it is long
 * @param longBody the body where it is passed on as it arrives, or null
 */
public record RequestContent(
        String requestId, String target, String idempotencyKey, byte[] body, RequestBody longBody) {

    /**
     * A request whose body has been read completely.
     *
     * @param requestId the id that the client gave the request
     * @param target the target of the request, as the client named it
     * @param idempotencyKey the idempotency key of a keyed class, or null
     * @param body the complete body
     */
    public RequestContent(String requestId, String target, String idempotencyKey, byte[] body) {
        this(requestId, target, idempotencyKey, body, null);
    }

    /** Whether an attempt can still begin at the body's first byte. */
    boolean isReplayable() {
        return longBody == null || longBody.isReplayable();
    }
}

package cresschute.node;

/**
 * What passes on unchanged from the client to a worker.
 *
 * @param target what it is for, as the client named it
 * @param idempotencyKey the key of a keyed class, or null
 * @param body all of the body, or none of it where it is long
 * @param longBody the body where it is passed on as it arrives, or null
 */
public record RequestContent(
        String requestId, String target, String idempotencyKey, byte[] body, RequestBody longBody) {

    /** A request whose body is here. */
    public RequestContent(String requestId, String target, String idempotencyKey, byte[] body) {
        this(requestId, target, idempotencyKey, body, null);
    }

    /** Whether an attempt of it could still begin at the body's first byte. */
    boolean isReplayable() {
        return longBody == null || longBody.isReplayable();
    }
}

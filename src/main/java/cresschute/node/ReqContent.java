package cresschute.node;

/**
 * What passes on unchanged from the client to a backend.
 *
 * @param target what it is for, as the client named it
 * @param idempotencyKey the key of a keyed class, or null
 */
public record ReqContent(String requestId, String target, String idempotencyKey, byte[] body) {
}

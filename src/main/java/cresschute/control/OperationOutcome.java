package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * The result of a drain operation and the reason for it. Immutable. Outcomes are stored in a {@link
 * DrainSnapshot} with their operation, under the names in {@code @SerializedName}.
 *
 * @param result whether the drains in force changed
 * @param reason why they did not change, shown to the operator; empty if they changed
 */
public record OperationOutcome(
        @SerializedName("kind") OperationResult result, @SerializedName("why") String reason) {

    /** The drains in force changed as requested. */
    static final OperationOutcome APPLIED = new OperationOutcome(OperationResult.APPLIED, "");

    /** The requested state was already in force. */
    static OperationOutcome unchanged(String reason) {
        return new OperationOutcome(OperationResult.UNCHANGED, reason);
    }

    /** The operation was rejected. */
    static OperationOutcome rejected(DrainRejection rejection) {
        return new OperationOutcome(OperationResult.REJECTED, rejection.message());
    }
}

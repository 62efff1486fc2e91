package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * How an operation ended, and why. Immutable. Outcomes are stored in a {@link DrainSnapshot} with
 * their operation; the stored words are those of {@code @SerializedName}.
 *
 * @param result whether the drains in force changed
 * @param reason why they did not, for the operator; empty where they did
 */
public record OperationOutcome(
        @SerializedName("kind") OperationResult result, @SerializedName("why") String reason) {

    /** The drains in force changed as asked. */
    static final OperationOutcome APPLIED = new OperationOutcome(OperationResult.APPLIED, "");

    /** The state asked for was in force already. */
    static OperationOutcome unchanged(String reason) {
        return new OperationOutcome(OperationResult.UNCHANGED, reason);
    }

    /** The operation was rejected. */
    static OperationOutcome rejected(DrainRejection rejection) {
        return new OperationOutcome(OperationResult.REJECTED, rejection.message());
    }
}

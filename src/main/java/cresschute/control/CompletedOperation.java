package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * A drain operation and its outcome. The {@link DrainRegistry} keeps it and a {@link DrainSnapshot}
 * stores it, so that an operation that is sent again gets the same answer and changes nothing.
 * Immutable.
 */
public record CompletedOperation(
        @SerializedName("operation") DrainOperation operation,
        @SerializedName("outcome") OperationOutcome outcome) {}

package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * A drain operation and its outcome. While the {@link DrainRegistry} keeps it, an operation that is
 * sent again gets the same answer and changes nothing. This also holds after a restart if a {@link
 * DrainSnapshot} with it was stored. Immutable.
 */
public record CompletedOperation(
        @SerializedName("operation") DrainOperation operation,
        @SerializedName("outcome") OperationOutcome outcome) {}

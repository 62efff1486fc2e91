package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * An operation and how it ended. It is remembered, and stored in a {@link DrainSnapshot}, so that
 * the same operation sent again is answered the same and changes nothing. Immutable.
 */
public record CompletedOperation(
        @SerializedName("operation") DrainOperation operation,
        @SerializedName("outcome") OperationOutcome outcome) {}

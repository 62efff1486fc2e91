package cresschute.control;

import com.google.gson.annotations.SerializedName;
import java.util.Objects;

/**
 * An operator's request to drain a worker or to end its drain. Immutable. Completed operations are
 * stored in a {@link DrainSnapshot}; the stored words are those of {@code @SerializedName}.
 *
 * @param id drawn by the console; an operation that is sent again carries the same id, which makes
 *     it idempotent
 * @param isDrain true to start a drain, false to end one
 * @param worker the worker's id as the endpoint list names it
 * @param durationUs how long the drain lasts from when it is first applied, us, over 0; {@link
 *     DrainRegistry#NO_END_US} where it does not end by itself
 * @param operator who asks, as their console names them
 * @param reason the operator's reason, or empty
 * @param isForced whether to drain although that leaves work without a worker
 */
public record DrainOperation(
        @SerializedName("id") String id,
        @SerializedName("start") boolean isDrain,
        @SerializedName("worker") String worker,
        @SerializedName("forUs") long durationUs,
        @SerializedName("who") String operator,
        @SerializedName("reason") String reason,
        @SerializedName("forced") boolean isForced) {

    /**
     * @throws IllegalArgumentException if the duration is not over 0
     */
    public DrainOperation {
        Objects.requireNonNull(id);
        Objects.requireNonNull(worker);
        if (durationUs <= 0) {
            throw new IllegalArgumentException("a drain lasts longer than no time");
        }
    }

    /** The operator's name, with the reason after it where one was given. */
    public String attribution() {
        return attribution(operator, reason);
    }

    /** Who asked for a drain and, unless it is empty, the reason. */
    static String attribution(String operator, String reason) {
        return operator + (reason.isEmpty() ? "" : ": " + reason);
    }
}

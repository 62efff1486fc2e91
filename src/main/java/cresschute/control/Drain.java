package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * An operator's drain that is in force: its worker gets no new work. Immutable. It is stored in a
 * {@link DrainSnapshot}; the stored words are those of {@code @SerializedName}.
 *
 * @param worker the worker's id as the endpoint list names it
 * @param startedAtUs Unix time, us
 * @param endsAtUs when it ends by itself, Unix time in us, or {@link DrainRegistry#NO_END_US}
 * @param operator who asked for it, as their console names them
 * @param reason the operator's reason, or empty
 */
public record Drain(
        @SerializedName("worker") String worker,
        @SerializedName("sinceUs") long startedAtUs,
        @SerializedName("untilUs") long endsAtUs,
        @SerializedName("who") String operator,
        @SerializedName("reason") String reason) {

    /** Whether the drain ends by itself. */
    public boolean hasEnd() {
        return endsAtUs != DrainRegistry.NO_END_US;
    }

    /** The operator's name, with the reason after it where one was given. */
    public String attribution() {
        return DrainOperation.attribution(operator, reason);
    }
}

package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * An operator's drain of a worker that is in force: the worker gets no new requests. Immutable.
 * Drains are stored in a {@link DrainSnapshot} under the names in {@code @SerializedName}.
 *
 * @param worker the worker's id as the endpoint list names it
 * @param startedAtUs when the drain started, Unix time in microseconds
 * @param endsAtUs when the drain expires, Unix time in microseconds, or {@link
 *     DrainRegistry#NO_END_US}
 * @param operator the operator who started the drain, as named by their console
 * @param reason the operator's reason, or empty
 */
public record Drain(
        @SerializedName("worker") String worker,
        @SerializedName("sinceUs") long startedAtUs,
        @SerializedName("untilUs") long endsAtUs,
        @SerializedName("who") String operator,
        @SerializedName("reason") String reason) {

    /** Returns whether the drain expires. */
    public boolean hasEnd() {
        return endsAtUs != DrainRegistry.NO_END_US;
    }

    /** Returns the operator's name, followed by the reason if it is not empty. */
    public String attribution() {
        return DrainOperation.attribution(operator, reason);
    }
}

package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * The result of a drain operation. Snapshots store the name in {@code @SerializedName}; answers to
 * consoles carry {@link #wireName}.
 */
public enum OperationResult {
    /** The operation changed the drains in force. */
    @SerializedName("DONE")
    APPLIED("done"),

    /** The requested state was already in force. */
    @SerializedName("ALREADY")
    UNCHANGED("already"),

    /** The operation was rejected and changed nothing. */
    @SerializedName("REFUSED")
    REJECTED("refused");

    private final String wireName;

    OperationResult(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the result's word in an answer to a console. */
    public String wireName() {
        return wireName;
    }
}

package cresschute.control;

import com.google.gson.annotations.SerializedName;

/**
 * How an operation ended. Snapshots store the word of {@code @SerializedName}; answers to consoles
 * carry {@link #wireName}.
 */
public enum OperationResult {
    /** It changed the drains in force. */
    @SerializedName("DONE")
    APPLIED("done"),

    /** The state asked for was in force already. */
    @SerializedName("ALREADY")
    UNCHANGED("already"),

    /** It was rejected and changed nothing. */
    @SerializedName("REFUSED")
    REJECTED("refused");

    private final String wireName;

    OperationResult(String wireName) {
        this.wireName = wireName;
    }

    /** The word in an answer to a console. */
    public String wireName() {
        return wireName;
    }
}

package cresschute.control;

import java.util.Optional;
import java.util.stream.Stream;

/** What a console may ask for. */
public enum ControlCommand {
    /** All rows, once. */
    WORKERS("workers"),
    /** The rows, and their changes from then on. */
    SUBSCRIBE("subscribe"),
    /** The events, and new ones from then on. */
    EVENTS("events"),
    /** Start a drain. */
    DRAIN("drain"),
    /** End a drain. */
    UNDRAIN("undrain");

    private final String wireName;

    ControlCommand(String wireName) {
        this.wireName = wireName;
    }

    /** The word in a request and in the log. */
    public String wireName() {
        return wireName;
    }

    /** Whether the request carries a {@link DrainOperation}. */
    public boolean isOperation() {
        return this == DRAIN || this == UNDRAIN;
    }

    /** The command of this name on the wire, if there is one. */
    static Optional<ControlCommand> ofWireName(String word) {
        return Stream.of(values()).filter(each -> each.wireName.equals(word)).findFirst();
    }
}

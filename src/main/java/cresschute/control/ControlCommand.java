package cresschute.control;

import java.util.Optional;
import java.util.stream.Stream;

/** The commands that a console can send. */
public enum ControlCommand {
    /** Requests all rows once. */
    WORKERS("workers"),
    /** Requests the rows and subscribes to their changes. */
    SUBSCRIBE("subscribe"),
    /** Requests the events and subscribes to new ones. */
    EVENTS("events"),
    /** Starts a drain. */
    DRAIN("drain"),
    /** Ends a drain. */
    UNDRAIN("undrain");

    private final String wireName;

    ControlCommand(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the command's word in a request and in the log. */
    public String wireName() {
        return wireName;
    }

    /** Returns whether a request with this command carries a {@link DrainOperation}. */
    public boolean isOperation() {
        return this == DRAIN || this == UNDRAIN;
    }

    /** Returns the command with this word on the wire, or empty if there is none. */
    static Optional<ControlCommand> ofWireName(String word) {
        return Stream.of(values()).filter(each -> each.wireName.equals(word)).findFirst();
    }
}

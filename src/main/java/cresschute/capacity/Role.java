package cresschute.capacity;

import java.util.Optional;
import java.util.stream.Stream;

/** A part of an installation whose cost is measured on its own. */
public enum Role {

    /** A program that sends requests. */
    CLIENT("client"),
    /** One dispatcher process; figures are means over all of them. */
    DISPATCHER("dispatcher"),
    /** One worker's machine; figures are means over all listed workers. */
    WORKER("worker"),
    /** The service that names the workers to the dispatchers. */
    DISCOVERY("discovery"),
    /** The operators' console and the management listener. */
    CONSOLE("console"),
    /** A fleet simulated in virtual time; it is no part of an installation and of no fit. */
    MODEL("model");

    private final String label;

    Role(String label) {
        this.label = label;
    }

    /** The name in the column {@code role} of a measurement file. */
    public String label() {
        return label;
    }

    /** The role with this name; empty if there is none. */
    public static Optional<Role> of(String label) {
        return Stream.of(values()).filter(role -> role.label.equals(label)).findFirst();
    }
}

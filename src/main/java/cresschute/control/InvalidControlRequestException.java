package cresschute.control;

import java.util.Optional;

/**
 * Thrown when a line from a console is not a valid request. The message states the reason and is
 * sent to the console.
 */
public final class InvalidControlRequestException extends Exception {

    private static final long serialVersionUID = 1L;
    private final String id;

    /**
     * @param id the request's id, or null if it could not be read
     */
    InvalidControlRequestException(String id, String message) {
        super(message, null, false, false);
        this.id = id;
    }

    /** Returns the id of the request, or empty if it could not be read. */
    public Optional<String> id() {
        return Optional.ofNullable(id);
    }
}

package cresschute.control;

import java.util.Optional;

/** A line from a console is no valid request; the message says why, for whoever wrote it. */
public final class InvalidControlRequestException extends Exception {

    private static final long serialVersionUID = 1L;
    private final String id;

    /**
     * @param id the request's id, or null where it could not be read
     */
    InvalidControlRequestException(String id, String message) {
        super(message, null, false, false);
        this.id = id;
    }

    /** The id of the request, if it could be read. */
    public Optional<String> id() {
        return Optional.ofNullable(id);
    }
}

package cresschute.simulator;

/** Input that does not follow the wire; the message is one plain line. */
final class MalformedInputException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

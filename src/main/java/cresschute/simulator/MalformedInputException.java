package cresschute.simulator;

/** Thrown for input that violates the wire protocol. The message is a single line. */
final class MalformedInputException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

package cresschute.control;

/**
 * A request of a console: one line of the protocol in {@code docs/console.md}. Immutable; pure.
 *
 * @param id chosen by the console and repeated in the answer
 * @param command the requested command
 * @param sinceVersion for {@link ControlCommand#SUBSCRIBE}: the table version that the console
 *     holds, or 0
 * @param incarnation for {@link ControlCommand#SUBSCRIBE} and {@link ControlCommand#EVENTS}: the
 *     incarnation of the node that the version or event number belongs to, or empty
 * @param afterEvent for {@link ControlCommand#EVENTS}: the number of the last event that the
 *     console has
 * @param operation for {@link ControlCommand#DRAIN} and {@link ControlCommand#UNDRAIN}; null for
 *     the others
 */
public record ControlRequest(
        String id,
        ControlCommand command,
        long sinceVersion,
        String incarnation,
        long afterEvent,
        DrainOperation operation) {

    /** The version of the protocol that this node speaks. */
    public static final int VERSION = 1;

    /** Maximum length of a line from a console, in bytes without the line end. */
    public static final int MAX_LINE_LENGTH = 16 * 1024;

    /**
     * Reads a line.
     *
     * @throws InvalidControlRequestException if the line is not a valid request of this protocol
     *     version
     */
    public static ControlRequest parse(String line) throws InvalidControlRequestException {
        return ControlRequestParser.parse(line);
    }
}

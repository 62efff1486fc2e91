package cresschute.control.files;

import java.io.IOException;

/**
 * Reports that a change is in force in this process but is not known to be on the disk, so that a
 * restart may lose it. The message is that of the cause, which names the file.
 */
public final class NotDurableException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * @param cause why the change could not be stored
     */
    public NotDurableException(Exception cause) {
        super(cause.getMessage(), cause);
    }
}

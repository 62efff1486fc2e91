package cresschute.testbed.capacity;

import java.io.IOException;

/** A process of the experiment ended, fell silent or could not be started. */
public final class ProcessFailureException extends IOException {

    private static final long serialVersionUID = 1L;

    /** The message names the process. */
    public ProcessFailureException(String message) {
        super(message);
    }
}

package cresschute.testbed.capacity;

import java.io.IOException;

/** A process of the experiment ended, stopped answering or could not be started. */
public final class ProcessFailureException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates it with a message that names the process. */
    public ProcessFailureException(String message) {
        super(message);
    }
}

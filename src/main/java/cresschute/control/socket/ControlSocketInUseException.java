package cresschute.control.socket;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when another node listens on the control socket. */
public final class ControlSocketInUseException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the socket. */
    ControlSocketInUseException(Path socket) {
        super("another node listens on the control socket " + socket);
    }
}

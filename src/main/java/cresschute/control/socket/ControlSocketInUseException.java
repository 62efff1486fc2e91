package cresschute.control.socket;

import java.io.IOException;
import java.nio.file.Path;

/** Conflict: another node listens on the control socket. */
public final class ControlSocketInUseException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Names the socket. */
    ControlSocketInUseException(Path socket) {
        super("another node listens on the control socket " + socket);
    }
}

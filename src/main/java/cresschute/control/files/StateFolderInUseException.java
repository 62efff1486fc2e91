package cresschute.control.files;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when another node, in this or another process, has locked the state folder. */
public final class StateFolderInUseException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the folder. */
    StateFolderInUseException(Path folder) {
        super("another node uses the state folder " + folder);
    }
}

package cresschute.control.files;

import java.io.IOException;
import java.nio.file.Path;

/** Conflict: another node, of this process or another, has the state folder. */
public final class StateFolderInUseException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Names the folder. */
    StateFolderInUseException(Path folder) {
        super("another node uses the state folder " + folder);
    }
}

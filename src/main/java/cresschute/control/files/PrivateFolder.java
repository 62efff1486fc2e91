package cresschute.control.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;

/** Makes folders that only the node's own user may use. Stateless; any thread. */
public final class PrivateFolder {

    private static final String OWNER_ONLY = "rwx------";

    private PrivateFolder() {}

    /**
     * Makes a folder and its missing parents with mode 0700. A folder that exists keeps its mode.
     * Blocks.
     *
     * @throws IOException if it cannot be made
     */
    public static void create(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(
                    folder,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString(OWNER_ONLY)));
        }
    }
}

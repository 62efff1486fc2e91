package cresschute.control.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;

/** Creates folders that only the node's own user can access. Stateless; callable on any thread. */
public final class PrivateFolder {

    private static final String OWNER_ONLY = "rwx------";

    private PrivateFolder() {}

    /**
     * Creates a folder and its missing parents with mode 0700. An existing folder keeps its mode.
     * Blocks.
     *
     * @throws IOException if the folder cannot be created
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

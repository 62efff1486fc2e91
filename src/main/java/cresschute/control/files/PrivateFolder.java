package cresschute.control.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;

/** Folders for what is nobody else's. */
public final class PrivateFolder {

    private PrivateFolder() {}

    /**
     * Makes a folder, and those above it, with mode 0700; one that is there stays as it is. Blocks.
     */
    public static void make(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(
                    folder,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rwx------")));
        }
    }
}

package cresschute.control.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * A file that is replaced atomically: at any moment it holds the bytes of one complete write, even
 * if the process or the machine stops in the middle of a later write. The only state is the two
 * paths. Every method blocks; only one thread at a time may write.
 */
final class AtomicFile {

    private static final String REJECTED_SUFFIX = ".refused";

    private final Path file;
    private final Path temporary;

    /**
     * @param file the path of the file
     * @param temporary the path to which new bytes are written before they replace the file; in the
     *     same folder
     */
    AtomicFile(Path file, Path temporary) {
        this.file = file;
        this.temporary = temporary;
    }

    /**
     * Writes the bytes to the temporary file, syncs it to the disk and renames it over the file.
     */
    void replace(byte[] bytes) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            final ByteBuffer unwritten = ByteBuffer.wrap(bytes);
            while (unwritten.hasRemaining()) {
                out.write(unwritten);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Syncs the folder to the disk. Without this, a power failure may undo the rename. */
    void syncFolder() throws IOException {
        final Path folder = file.toAbsolutePath().getParent();
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Renames a damaged file so that the next {@link #replace} does not overwrite it. An earlier
     * quarantined file is replaced.
     *
     * @return the new path of the file
     */
    Path quarantine() throws IOException {
        final Path quarantined = file.resolveSibling(file.getFileName() + REJECTED_SUFFIX);
        Files.move(file, quarantined, StandardCopyOption.REPLACE_EXISTING);
        return quarantined;
    }

    /** Returns the bytes of the file. */
    byte[] read() throws IOException {
        return Files.readAllBytes(file);
    }

    /** Returns the path of the file. */
    Path path() {
        return file;
    }
}

package cresschute.control.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * A file that is replaced as a whole: at any moment it holds the bytes of one complete write, also
 * if the process or the machine stops in the middle of another. Stateless but for its paths; every
 * method blocks, and one thread at a time may write.
 */
final class AtomicFile {

    private static final String REJECTED_SUFFIX = ".refused";

    private final Path file;
    private final Path temporary;

    /**
     * @param file the file itself
     * @param temporary where the next bytes are written before they replace it; in the same folder
     */
    AtomicFile(Path file, Path temporary) {
        this.file = file;
        this.temporary = temporary;
    }

    /** Writes the bytes beside the file, syncs them to the disk and renames them over the file. */
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

    /** Syncs the folder to the disk, without which a rename may be lost with the power. */
    void syncFolder() throws IOException {
        final Path folder = file.toAbsolutePath().getParent();
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Renames the file, so that the next {@link #replace} does not overwrite it.
     *
     * @return its new path
     */
    Path quarantine() throws IOException {
        final Path aside = file.resolveSibling(file.getFileName() + REJECTED_SUFFIX);
        Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
        return aside;
    }

    /** The bytes of the file. */
    byte[] read() throws IOException {
        return Files.readAllBytes(file);
    }

    /** Where the file is. */
    Path path() {
        return file;
    }
}

package cresschute.control.files;

import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Ids of requests that the processes of an upgrade have sent on, in a folder that they share. Each
 * process writes a file of its own and reads those of the others, so that a request does not have
 * its effect a second time when its id comes again at the other process.
 *
 * <p>A file is a ring of the hashes of the latest {@value #IDS_PER_FILE} ids, mapped into memory.
 * There are {@value #FILES} files; a process takes the one that was written least recently of those
 * that no other process has locked, and empties it. The ids of a process are known until {@value
 * #FILES} less one further processes have started.
 *
 * <p>Owns its file, its lock and the mappings. Used by one thread; no call but {@link #open}
 * blocks.
 */
public final class SharedRequestIds implements AutoCloseable {

    static final int FILES = 4;
    static final int IDS_PER_FILE = 8_192;

    private static final int FILE_BYTES = IDS_PER_FILE * Long.BYTES;
    private static final long UNUSED = 0;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final FileChannel channel;
    private final FileLock lock;
    private final MappedByteBuffer own;
    private final List<LongBuffer> others;
    private int next;

    private SharedRequestIds(
            FileChannel channel, FileLock lock, MappedByteBuffer own, List<LongBuffer> others) {
        this.channel = channel;
        this.lock = lock;
        this.own = own;
        this.others = others;
    }

    /**
     * Takes a file in this folder, which is created if it is missing. Blocks.
     *
     * @throws IOException if the files cannot be used, or all of them are locked
     */
    public static SharedRequestIds open(Path folder) throws IOException {
        Files.createDirectories(folder);
        final List<Path> files = new ArrayList<>();
        for (int i = 0; i < FILES; i++) {
            final Path file = folder.resolve("cresschute-request-ids-" + i);
            ensureLength(file);
            files.add(file);
        }
        files.sort(Comparator.comparing(SharedRequestIds::modified));
        for (final Path file : files) {
            final FileChannel channel = openFile(file);
            final FileLock lock = tryLock(channel);
            if (lock != null) {
                return take(file, channel, lock, files);
            }
            channel.close();
        }
        throw new IOException("all files of request ids in " + folder + " are in use");
    }

    private static SharedRequestIds take(
            Path file, FileChannel channel, FileLock lock, List<Path> files) throws IOException {
        final List<LongBuffer> others = new ArrayList<>();
        for (final Path other : files) {
            if (!other.equals(file)) {
                try (FileChannel read = openFile(other)) {
                    others.add(map(read).asLongBuffer());
                }
            }
        }
        final MappedByteBuffer own = map(channel);
        for (int i = 0; i < IDS_PER_FILE; i++) {
            own.putLong(i * Long.BYTES, UNUSED);
        }
        Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis()));
        return new SharedRequestIds(channel, lock, own, others);
    }

    private static FileChannel openFile(Path file) throws IOException {
        return FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    private static void ensureLength(Path file) throws IOException {
        try (FileChannel channel = openFile(file)) {
            if (channel.size() < FILE_BYTES) {
                map(channel);
            }
        }
    }

    /** A file that is shorter than its mapping is extended with zeros. */
    private static MappedByteBuffer map(FileChannel channel) throws IOException {
        return channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
    }

    private static long modified(Path file) {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            return 0;
        }
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Makes an id known to the other processes. */
    public void add(String id) {
        own.putLong(next * Long.BYTES, hash(id));
        next = (next + 1) % IDS_PER_FILE;
    }

    /** Whether another process has made an id known. */
    public boolean isKnownElsewhere(String id) {
        final long hash = hash(id);
        for (final LongBuffer other : others) {
            for (int i = 0; i < IDS_PER_FILE; i++) {
                if (other.get(i) == hash) {
                    return true;
                }
            }
        }
        return false;
    }

    /** FNV-1a in 64 bits, never {@link #UNUSED}. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == UNUSED ? 1 : hash;
    }

    @Override
    public void close() throws IOException {
        lock.release();
        channel.close();
    }
}

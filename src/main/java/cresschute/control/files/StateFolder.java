package cresschute.control.files;

import cresschute.control.ChecksummedFile.DamagedFileException;
import cresschute.control.Snapshot;
import cresschute.logs.LogEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Keeps snapshots in a folder: two files in turn, each written aside, synced and renamed over the
 * older one, so that at any moment the newest that was confirmed is there whole. Files are written
 * by one thread of its own, which hands its word back to the caller's executor. One process at a
 * time has the folder.
 */
public final class StateFolder implements AutoCloseable {

    private static final int FILES = 2;
    private static final long CLOSE_S = 5;
    private static final Logger LOG = System.getLogger("cresschute.state");

    private final Path folder;
    private final FileChannel lock;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        final Thread thread = new Thread(task, "state");
                        thread.setDaemon(true);
                        return thread;
                    });

    private StateFolder(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /**
     * Takes a folder, which is made if it is not there; one that another process has is an error.
     */
    public static StateFolder open(Path folder) throws IOException {
        PrivateFolder.make(folder);
        final FileChannel channel =
                FileChannel.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return new StateFolder(folder, channel);
            }
        } catch (OverlappingFileLockException e) {
            // Another node of this very process has it: the same as another process.
        }
        channel.close();
        throw new IOException("another node uses the state folder " + folder);
    }

    private Path file(long generation) {
        return folder.resolve("drains." + generation % FILES);
    }

    /**
     * The newest snapshot that is whole, or one of generation 0 with nothing in it. Reads files.
     */
    public Snapshot load() throws IOException {
        final Snapshot[] found = new Snapshot[FILES];
        for (int i = 0; i < FILES; i++) {
            found[i] = read(file(i));
        }
        return Stream.of(found)
                .filter(Objects::nonNull)
                .reduce((one, other) -> one.generation() > other.generation() ? one : other)
                .orElse(new Snapshot(0, List.of(), List.of()));
    }

    private Snapshot read(Path file) throws IOException {
        try {
            return Snapshot.decode(Files.readAllBytes(file));
        } catch (NoSuchFileException e) {
            return null;
        } catch (DamagedFileException e) {
            // Put aside and not lost: the next snapshot would be written over it.
            final Path aside = file.resolveSibling(file.getFileName() + ".refused");
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            LogEvent.of(
                            "snapshot_refused",
                            "snapshot "
                                    + file
                                    + " is refused and put aside as "
                                    + aside.getFileName()
                                    + ": "
                                    + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
            return null;
        }
    }

    /**
     * Keeps a snapshot. {@code done} hears null once it is on the disk, or what went wrong, on the
     * given executor. Snapshots are written in the order given.
     */
    public void keep(Snapshot snapshot, Executor back, Consumer<IOException> done) {
        writer.execute(
                () -> {
                    IOException failed = null;
                    try {
                        write(snapshot);
                    } catch (IOException e) {
                        failed = e;
                    }
                    final IOException told = failed;
                    try {
                        back.execute(() -> done.accept(told));
                    } catch (RejectedExecutionException e) {
                        // The node ended meanwhile: it is kept, and nobody waits for the word any
                        // more.
                        LogEvent.of("kept_unheard", "a snapshot was kept as the node ended")
                                .with("generation", snapshot.generation())
                                .log(LOG, Level.DEBUG);
                    }
                });
    }

    private void write(Snapshot snapshot) throws IOException {
        final Path aside = folder.resolve("drains.new");
        try (FileChannel out =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            final ByteBuffer bytes = ByteBuffer.wrap(snapshot.encode());
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(aside, file(snapshot.generation()), StandardCopyOption.ATOMIC_MOVE);
        // The name is on the disk once the folder is.
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** Writes what was given, then lets go of the folder. Blocks; not on the loop. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_S, TimeUnit.SECONDS);
            lock.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LogEvent.of("state_folder", "the lock of " + folder + " could not be let go")
                    .because(e)
                    .log(LOG, Level.WARNING);
        }
    }
}

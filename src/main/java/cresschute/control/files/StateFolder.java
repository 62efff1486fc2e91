package cresschute.control.files;

import cresschute.control.DamagedFileException;
import cresschute.control.DrainSnapshot;
import cresschute.logs.LogEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * The folder in which a node stores its {@link DrainSnapshot}s.
 *
 * <p>Two files take turns by generation, each an {@link AtomicFile}, so that the newest snapshot
 * that was confirmed is always complete on the disk. A damaged file is put aside and the other one
 * is used.
 *
 * <p>Life: {@link #open} locks the folder for this node, {@link #load} reads what an earlier run
 * stored, {@link #close} writes what is queued and unlocks. Snapshots are written by one thread of
 * its own, in the order given; that thread touches nothing of the caller's and notifies the
 * caller's executor.
 */
public final class StateFolder implements AutoCloseable {

    private static final int FILES = 2;
    private static final long CLOSE_TIMEOUT_S = 5;
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
     * Locks a folder, and makes it where it is missing. Blocks.
     *
     * @throws StateFolderInUseException if another node has it
     * @throws IOException if it cannot be made or locked
     */
    public static StateFolder open(Path folder) throws IOException {
        PrivateFolder.create(folder);
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
            // Another node of this process has it, which is the same as another process.
        }
        channel.close();
        throw new StateFolderInUseException(folder);
    }

    private AtomicFile file(long generation) {
        return new AtomicFile(
                folder.resolve("drains." + generation % FILES), folder.resolve("drains.new"));
    }

    /**
     * The newest complete snapshot, or the empty one. Blocks.
     *
     * @throws IOException if a file that exists cannot be read or put aside
     */
    public DrainSnapshot load() throws IOException {
        Optional<DrainSnapshot> newest = Optional.empty();
        for (int i = 0; i < FILES; i++) {
            final Optional<DrainSnapshot> found = read(file(i));
            if (found.isPresent()
                    && (newest.isEmpty()
                            || found.get().generation() >= newest.get().generation())) {
                newest = found;
            }
        }
        return newest.orElse(DrainSnapshot.empty());
    }

    private static Optional<DrainSnapshot> read(AtomicFile file) throws IOException {
        try {
            return Optional.of(DrainSnapshot.decode(file.read()));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (DamagedFileException e) {
            final Path aside = file.quarantine();
            LogEvent.of(
                            "snapshot_refused",
                            "snapshot "
                                    + file.path()
                                    + " is refused and put aside as "
                                    + aside.getFileName()
                                    + ": "
                                    + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
            return Optional.empty();
        }
    }

    /**
     * Stores a snapshot. Does not block; snapshots are written in the order given.
     *
     * @param snapshot of a generation one higher than the snapshot before
     * @param executor where the listener is notified
     * @param listener is notified once, unless the executor has ended
     */
    public void store(DrainSnapshot snapshot, Executor executor, SnapshotListener listener) {
        writer.execute(
                () -> {
                    Runnable notification;
                    try {
                        final AtomicFile file = file(snapshot.generation());
                        file.replace(snapshot.encode());
                        file.syncFolder();
                        notification = listener::stored;
                    } catch (IOException e) {
                        final NotDurableException failure = new NotDurableException(e);
                        notification = () -> listener.notDurable(failure);
                    }
                    try {
                        executor.execute(notification);
                    } catch (RejectedExecutionException e) {
                        // The node ended meanwhile, and with it whoever waited for an answer.
                        LogEvent.of(
                                        "snapshot_listener_ended",
                                        "a snapshot was written as the node ended")
                                .with("generation", snapshot.generation())
                                .log(LOG, Level.DEBUG);
                    }
                });
    }

    /** Writes the snapshots that are queued, then unlocks the folder. Blocks; not on the loop. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
            lock.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LogEvent.of("state_folder", "the lock of " + folder + " could not be released")
                    .withCause(e)
                    .log(LOG, Level.WARNING);
        }
    }
}

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
 * <p>Each snapshot is written to an {@link AtomicFile}, so that an interrupted write leaves the
 * confirmed snapshots complete on the disk. Snapshots alternate by generation between two files: if
 * one file is damaged, it is quarantined and the other one is used.
 *
 * <p>Life cycle: {@link #open} locks the folder for this node, {@link #load} reads the snapshot of
 * an earlier process, {@link #close} waits up to {@value #CLOSE_TIMEOUT_S} s for the queued
 * snapshots and unlocks. A dedicated thread writes snapshots in the order of the calls; it accesses
 * no state of the caller and notifies listeners on the caller's executor.
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
     * Locks a folder, and creates it if it is missing. Blocks.
     *
     * @throws StateFolderInUseException if another node has locked it
     * @throws IOException if it cannot be created or locked
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
            // Another node in this process holds the lock; treated like another process.
        }
        channel.close();
        throw new StateFolderInUseException(folder);
    }

    private AtomicFile file(long generation) {
        return new AtomicFile(
                folder.resolve("drains." + generation % FILES), folder.resolve("drains.new"));
    }

    /**
     * Returns the newest complete snapshot, or the empty one if there is none. Blocks.
     *
     * @throws IOException if an existing file cannot be read or quarantined
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
            final Path quarantined = file.quarantine();
            LogEvent.of(
                            "snapshot_refused",
                            "snapshot "
                                    + file.path()
                                    + " is damaged; ignored it and renamed it to "
                                    + quarantined.getFileName()
                                    + ": "
                                    + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
            return Optional.empty();
        }
    }

    /**
     * Stores a snapshot. Does not block; snapshots are written in the order of the calls.
     *
     * @param snapshot its generation is one higher than that of the previous snapshot
     * @param executor runs the notification of the listener
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
                        // The node has ended, and with it the clients that waited for an answer.
                        LogEvent.of(
                                        "snapshot_listener_ended",
                                        "the node's event loop has ended; the result of a snapshot"
                                                + " is not reported to it")
                                .with("generation", snapshot.generation())
                                .log(LOG, Level.DEBUG);
                    }
                });
    }

    /**
     * Waits up to {@value #CLOSE_TIMEOUT_S} s until the queued snapshots are written, then unlocks
     * the folder. Blocks; do not call on the event loop.
     */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
            lock.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LogEvent.of(
                            "state_folder",
                            "could not release the lock of state folder "
                                    + folder
                                    + "; the lock ends with the process")
                    .withCause(e)
                    .log(LOG, Level.WARNING);
        }
    }
}

package cresschute.control.files;

import cresschute.control.DamagedFileException;
import cresschute.control.OperatorState;
import cresschute.logs.LogEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The {@link OperatorState} in a folder that both processes of an upgrade share.
 *
 * <p>The file is an {@link AtomicFile}. A process changes it under a lock, from what it holds at
 * that moment, and each process polls it every {@value #POLL_INTERVAL_MS} ms for changes of the
 * other. A damaged file counts as no state and is put aside. Generations increase from the newest
 * that this process has read or written: a process that began after a damaged file was put aside
 * does not know the older ones, and others ignore its changes until its generations pass theirs.
 *
 * <p>A change is stored once its file is renamed into place. The folder is not synced: the change
 * outlives the process, and perhaps not a loss of power.
 *
 * <p>Life: from {@link #open} to {@link #close}. One thread of its own reads and writes; the
 * listeners are notified on the owner's executor, and nothing else of the owner's is touched.
 */
public final class SharedOperatorState implements AutoCloseable {

    /**
     * How often the file is polled, ms: a ban by the other process is in force well within the 400
     * ms that the platform allows.
     */
    static final long POLL_INTERVAL_MS = 100;

    private static final long CLOSE_TIMEOUT_S = 1;
    private static final String FILE = "cresschute-operators";
    private static final Logger LOG = System.getLogger("cresschute.state");

    /**
     * Held with the file lock: a file lock belongs to the process, and a second one by another
     * instance in it would fail.
     */
    private static final Object PROCESS_LOCK = new Object();

    private final Path lockFile;
    private final AtomicFile file;
    private final Executor owner;
    private final SharedStateListener listener;
    private final ScheduledExecutorService fileThread =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        final Thread thread = new Thread(task, "operators-state");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** The file as it was last read or written; used on the file thread alone. */
    private Optional<FileStamp> lastStamp = Optional.empty();

    /** The newest generation read or written; used on the file thread alone. */
    private long lastGeneration = -1;

    /** Attributes by which a change of the file is detected without reading it. */
    private record FileStamp(Object fileKey, long modifiedMs, long size) {

        static FileStamp of(Path file) throws IOException {
            final BasicFileAttributes attributes =
                    Files.readAttributes(file, BasicFileAttributes.class);
            return new FileStamp(
                    attributes.fileKey(),
                    attributes.lastModifiedTime().toMillis(),
                    attributes.size());
        }
    }

    /**
     * A shared state and what it held when it was opened.
     *
     * @param shared is closed by the owner
     */
    public record Opened(SharedOperatorState shared, OperatorState found) {}

    private SharedOperatorState(Path folder, Executor owner, SharedStateListener listener) {
        this.lockFile = folder.resolve(FILE + ".lock");
        this.file = new AtomicFile(folder.resolve(FILE), folder.resolve(FILE + ".new"));
        this.owner = owner;
        this.listener = listener;
    }

    /**
     * Opens the folder, makes it where it is missing, reads the state and begins to poll. Blocks.
     *
     * @param owner where the listener is notified: the owner's loop
     * @param listener is notified of changes by other processes
     * @throws IOException if the folder cannot be made or read
     */
    public static Opened open(Path folder, Executor owner, SharedStateListener listener)
            throws IOException {
        Files.createDirectories(folder);
        final SharedOperatorState shared = new SharedOperatorState(folder, owner, listener);
        final Optional<OperatorState> found;
        try {
            found = shared.fileThread.submit(shared::readIfChanged).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            shared.close();
            throw new IOException("interrupted while reading " + folder, e);
        } catch (ExecutionException e) {
            shared.close();
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        }
        shared.fileThread.scheduleWithFixedDelay(
                shared::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return new Opened(shared, found.orElse(OperatorState.NONE));
    }

    // ---- Changes by this process ----

    /**
     * Changes the state in the file. Does not block; changes are written in the order given, each
     * once the other process has released the lock of the file.
     *
     * @param change is applied on the file thread to what the file holds then
     * @param changeListener is notified once on the owner's executor, unless that has ended; on the
     *     caller's thread after {@link #close}
     */
    public void change(
            UnaryOperator<OperatorState> change,
            SharedStateListener.ChangeListener changeListener) {
        try {
            fileThread.execute(
                    () -> {
                        Runnable notification;
                        try {
                            final OperatorState written = changeNow(change);
                            notification = () -> changeListener.stored(written);
                        } catch (IOException | RuntimeException e) {
                            final NotDurableException failure = new NotDurableException(e);
                            notification = () -> changeListener.notDurable(failure);
                        }
                        notifyOwner(notification);
                    });
        } catch (RejectedExecutionException e) {
            changeListener.notDurable(
                    new NotDurableException(new IOException("the operators' state is closed")));
        }
    }

    private OperatorState changeNow(UnaryOperator<OperatorState> change) throws IOException {
        synchronized (PROCESS_LOCK) {
            try (FileChannel lockChannel =
                            FileChannel.open(
                                    lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = lockChannel.lock()) {
                Objects.requireNonNull(lock);
                final OperatorState current = read().orElse(OperatorState.NONE);
                final OperatorState changed = change.apply(current);
                final OperatorState next =
                        changed.withGeneration(
                                Math.max(
                                        changed.generation(),
                                        Math.max(lastGeneration, current.generation()) + 1));
                file.replace(next.encode());
                lastGeneration = Math.max(lastGeneration, next.generation());
                lastStamp = Optional.of(FileStamp.of(file.path()));
                return next;
            }
        }
    }

    // ---- Changes by other processes ----

    private void poll() {
        try {
            readIfChanged().ifPresent(found -> notifyOwner(() -> listener.stateChanged(found)));
        } catch (IOException | RuntimeException e) {
            LogEvent.of(
                            "operators_state_unread",
                            "the operators' state could not be read: " + e.getMessage())
                    .with("detail", String.valueOf(e.getMessage()))
                    .log(LOG, Level.WARNING);
        }
    }

    /** The state in the file, if it is newer than any that was read or written before. */
    private Optional<OperatorState> readIfChanged() throws IOException {
        final FileStamp stamp;
        try {
            stamp = FileStamp.of(file.path());
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
        if (lastStamp.isPresent() && lastStamp.get().equals(stamp)) {
            return Optional.empty();
        }
        lastStamp = Optional.of(stamp);
        final Optional<OperatorState> found =
                read().filter(state -> state.generation() > lastGeneration);
        found.ifPresent(state -> lastGeneration = state.generation());
        return found;
    }

    private Optional<OperatorState> read() throws IOException {
        try {
            return Optional.of(OperatorState.decode(file.read()));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (DamagedFileException e) {
            final Path aside = file.quarantine();
            LogEvent.of(
                            "operators_state_refused",
                            "the operators' state "
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

    private void notifyOwner(Runnable notification) {
        try {
            owner.execute(notification);
        } catch (RejectedExecutionException e) {
            // The owner ended meanwhile: what is written stays for the next process.
            LogEvent.of(
                            "operators_state_listener_ended",
                            "the operators' state changed as the node ended")
                    .log(LOG, Level.DEBUG);
        }
    }

    /** Ends polling; a change under way is finished first. Blocks; not on the owner's loop. */
    @Override
    public void close() {
        fileThread.shutdown();
        try {
            fileThread.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

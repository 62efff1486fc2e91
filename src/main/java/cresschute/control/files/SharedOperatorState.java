package cresschute.control.files;

import cresschute.control.DamagedFileException;
import cresschute.control.OperatorState;
import cresschute.logs.LogEvent;
import cresschute.logs.RepeatedTask;
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
 * The {@link OperatorState}, stored in a folder that the old and the new process of an upgrade
 * share.
 *
 * <p>The file is an {@link AtomicFile}. A process reads, changes and writes it under a file lock,
 * and polls it every {@value #POLL_INTERVAL_MS} ms for changes by the other process. A damaged file
 * is quarantined and counts as no state. Generations increase from the newest that this process has
 * read or written. A process that started after a damaged file was quarantined does not know the
 * older generations, so other processes ignore its changes until its generation exceeds theirs.
 *
 * <p>A change is stored once the file is renamed into place. The folder is not synced: the change
 * survives the end of the process, but possibly not a power failure.
 *
 * <p>Life cycle: from {@link #open} to {@link #close}. A dedicated thread reads and writes the
 * file. Listeners are notified on the owner's executor; the thread accesses no other state of the
 * owner.
 */
public final class SharedOperatorState implements AutoCloseable {

    /**
     * Interval at which the file is polled, in milliseconds. A ban by the other process takes
     * effect well within the 400 ms that the platform allows.
     */
    static final long POLL_INTERVAL_MS = 100;

    private static final long CLOSE_TIMEOUT_S = 1;
    private static final String FILE = "cresschute-operators";
    private static final Logger LOG = System.getLogger("cresschute.state");

    /**
     * Held together with the file lock. A file lock belongs to the whole process, so a second
     * instance in the same process would fail to acquire it.
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

    /** The stamp of the file when it was last read or written; used only on the file thread. */
    private Optional<FileStamp> lastStamp = Optional.empty();

    /** The newest generation read or written; used only on the file thread. */
    private long lastGeneration = -1;

    /** Attributes that detect a change of the file without reading it. */
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
     * An opened shared state and the state that the file held.
     *
     * @param shared the shared state, which the caller closes
     * @param found the state in the file, or {@link OperatorState#NONE}
     */
    public record Opened(SharedOperatorState shared, OperatorState found) {}

    private SharedOperatorState(Path folder, Executor owner, SharedStateListener listener) {
        this.lockFile = folder.resolve(FILE + ".lock");
        this.file = new AtomicFile(folder.resolve(FILE), folder.resolve(FILE + ".new"));
        this.owner = owner;
        this.listener = listener;
    }

    /**
     * Creates the folder if it is missing, reads the state and starts polling. Blocks.
     *
     * @param owner runs the notifications of the listeners: the owner's event loop
     * @param listener is notified of changes by other processes
     * @throws IOException if the folder cannot be created or read
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
                new RepeatedTask("operators' state", shared::poll),
                POLL_INTERVAL_MS,
                POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        return new Opened(shared, found.orElse(OperatorState.NONE));
    }

    // ---- Changes by this process ----

    /**
     * Changes the state in the file. Does not block; changes are written in the order of the calls,
     * each after the other process has released the file lock.
     *
     * @param change is applied on the file thread to the state in the file at that time
     * @param changeListener is notified once: on the owner's executor unless that has ended, or on
     *     the caller's thread after {@link #close}
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
                            "could not read the operators' state; keeping the last known state: "
                                    + e.getMessage())
                    .with("detail", String.valueOf(e.getMessage()))
                    .log(LOG, Level.WARNING);
        }
    }

    /** Returns the state in the file if it is newer than any that was read or written before. */
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
            final Path quarantined = file.quarantine();
            LogEvent.of(
                            "operators_state_refused",
                            "operators' state file "
                                    + file.path()
                                    + " is damaged; treated it as missing and renamed it to "
                                    + quarantined.getFileName()
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
            // The owner has ended: the stored state remains for the next process.
            LogEvent.of(
                            "operators_state_listener_ended",
                            "the node's event loop has ended; a change of the operators' state is"
                                    + " not reported to it")
                    .log(LOG, Level.DEBUG);
        }
    }

    /**
     * Stops polling, after waiting up to {@value #CLOSE_TIMEOUT_S} s for changes that are queued or
     * being written. Blocks; do not call on the owner's event loop.
     */
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

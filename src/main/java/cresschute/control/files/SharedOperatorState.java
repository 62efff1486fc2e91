package cresschute.control.files;

import cresschute.control.ChecksummedFile.DamagedFileException;
import cresschute.control.OperatorsState;
import cresschute.logs.LogEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The operators' state in a folder that several processes share, those of an upgrade: one file,
 * changed under a lock by whichever process is called, replaced whole by a rename, and looked at by
 * all of them every {@value #LOOK_MS} ms. Files are read and written by one thread of its own,
 * which hands what it found to the caller's executor; nothing else of the caller's is touched
 * there.
 *
 * <p>A file that is damaged counts as no state and is put aside, so that the next change starts
 * anew.
 */
public final class SharedOperatorState implements AutoCloseable {

    /**
     * How often the file is looked at for another process's change, ms: well within the 400 ms of a
     * ban.
     */
    static final long LOOK_MS = 100;

    private static final String FILE = "cresschute-operators";
    private static final Logger LOG = System.getLogger("cresschute.state");

    /**
     * One change at a time in this JVM too: a file lock is the process's, and two of them would
     * clash.
     */
    private static final Object IN_THIS_PROCESS = new Object();

    private final Path folder;
    private final Executor back;
    private final Consumer<OperatorsState> heard;
    private final ScheduledExecutorService files =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        final Thread thread = new Thread(task, "operators-state");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** What the file looked like when it was last read; only the thread of files touches these. */
    private Object seenKey;

    private long seenModified = -1;
    private long seenSize = -1;
    private long seenGeneration = -1;

    private SharedOperatorState(Path folder, Executor back, Consumer<OperatorsState> heard) {
        this.folder = folder;
        this.back = back;
        this.heard = heard;
    }

    /**
     * Opens the folder, reads what is there, and looks again and again from then on.
     *
     * @param back where {@code heard} is called: the owner's loop
     * @param heard a state that another process wrote, or one that this one's change made
     * @return the state found now, on the caller's thread
     * @throws IOException where the folder cannot be made or read
     */
    public static Opened open(Path folder, Executor back, Consumer<OperatorsState> heard)
            throws IOException {
        Files.createDirectories(folder);
        final SharedOperatorState shared = new SharedOperatorState(folder, back, heard);
        final OperatorsState found;
        try {
            found = shared.files.submit(shared::readIfChanged).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            shared.close();
            throw new IOException("interrupted while reading " + folder, e);
        } catch (java.util.concurrent.ExecutionException e) {
            shared.close();
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        }
        shared.files.scheduleWithFixedDelay(shared::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        return new Opened(shared, found == null ? OperatorsState.NONE : found);
    }

    /** A shared state and what it held at the start. */
    public record Opened(SharedOperatorState shared, OperatorsState found) {}

    /**
     * Changes the state in the file, under the lock, from what it holds then. {@code done} hears
     * the state as written, or null and the error, on the owner's executor.
     */
    public void change(UnaryOperator<OperatorsState> how, Done done) {
        try {
            files.execute(
                    () -> {
                        OperatorsState written = null;
                        Exception failed = null;
                        try {
                            written = changeNow(how);
                        } catch (IOException | RuntimeException e) {
                            failed = e;
                        }
                        final OperatorsState told = written;
                        final Exception error = failed;
                        tell(() -> done.changed(told, error));
                    });
        } catch (RejectedExecutionException e) {
            done.changed(null, new IOException("the operators' state is closed"));
        }
    }

    /** What a change came to. */
    public interface Done {

        /** On the owner's executor: the state as written, or null with what went wrong. */
        void changed(OperatorsState written, Exception failed);
    }

    private OperatorsState changeNow(UnaryOperator<OperatorsState> how) throws IOException {
        synchronized (IN_THIS_PROCESS) {
            try (FileChannel lockFile =
                            FileChannel.open(
                                    folder.resolve(FILE + ".lock"),
                                    StandardOpenOption.CREATE,
                                    StandardOpenOption.WRITE);
                    FileLock lock = lockFile.lock()) {
                Objects.requireNonNull(lock);
                final OperatorsState now = read();
                final OperatorsState next = how.apply(now == null ? OperatorsState.NONE : now);
                // Generations only grow, also where the file was put aside.
                final OperatorsState numbered =
                        next.numbered(
                                Math.max(
                                        next.generation(),
                                        Math.max(seenGeneration, now == null ? 0 : now.generation())
                                                + 1));
                write(numbered);
                remember(numbered.generation());
                return numbered;
            }
        }
    }

    private void look() {
        try {
            final OperatorsState found = readIfChanged();
            if (found != null) {
                tell(() -> heard.accept(found));
            }
        } catch (IOException | RuntimeException e) {
            LogEvent.of(
                            "operators_state_unread",
                            "the operators' state could not be read: " + e.getMessage())
                    .with("detail", String.valueOf(e.getMessage()))
                    .log(LOG, Level.WARNING);
        }
    }

    /** The state in the file where it is newer than what was read before, or null. */
    private OperatorsState readIfChanged() throws IOException {
        final Path file = folder.resolve(FILE);
        final BasicFileAttributes seen;
        try {
            seen = Files.readAttributes(file, BasicFileAttributes.class);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (Objects.equals(seen.fileKey(), seenKey)
                && seen.lastModifiedTime().toMillis() == seenModified
                && seen.size() == seenSize) {
            return null;
        }
        seenKey = seen.fileKey();
        seenModified = seen.lastModifiedTime().toMillis();
        seenSize = seen.size();
        final OperatorsState found = read();
        if (found == null || found.generation() <= seenGeneration) {
            return null;
        }
        seenGeneration = found.generation();
        return found;
    }

    private void remember(long generation) throws IOException {
        seenGeneration = Math.max(seenGeneration, generation);
        final BasicFileAttributes seen =
                Files.readAttributes(folder.resolve(FILE), BasicFileAttributes.class);
        seenKey = seen.fileKey();
        seenModified = seen.lastModifiedTime().toMillis();
        seenSize = seen.size();
    }

    private OperatorsState read() throws IOException {
        final Path file = folder.resolve(FILE);
        try {
            return OperatorsState.decode(Files.readAllBytes(file));
        } catch (NoSuchFileException e) {
            return null;
        } catch (DamagedFileException e) {
            final Path aside = file.resolveSibling(FILE + ".refused");
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            LogEvent.of(
                            "operators_state_refused",
                            "the operators' state "
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

    private void write(OperatorsState state) throws IOException {
        final Path aside = folder.resolve(FILE + ".new");
        try (FileChannel out =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            final ByteBuffer bytes = ByteBuffer.wrap(state.encode());
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(aside, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
    }

    private void tell(Runnable what) {
        try {
            back.execute(what);
        } catch (RejectedExecutionException e) {
            // The owner ended meanwhile: what is written stays for the next process.
            LogEvent.of("operators_state_unheard", "the operators' state changed as the node ended")
                    .log(LOG, Level.DEBUG);
        }
    }

    /**
     * Stops looking; a change under way is finished first. Blocks for a moment; not on the owner's
     * loop.
     */
    @Override
    public void close() {
        files.shutdown();
        try {
            files.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

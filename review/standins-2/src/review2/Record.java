package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: a line for everything that was sent, answered, run or done. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%10.1f  %s%n", ms(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

package cresschute.testbed.bodies;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A connection whose bodies are transferred at a given speed; heads and chunk sizes are not paced.
 * Owned by one thread.
 */
final class PacedSocket implements Closeable {

    static final int BLOCK = 16 * 1024;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final long MS = 1_000_000;

    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private Direction reading = new Direction(TransferProfile.FULL);
    private Direction writing = new Direction(TransferProfile.FULL);

    PacedSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), BLOCK);
        out = socket.getOutputStream();
    }

    void speeds(TransferProfile read, TransferProfile write) {
        reading = new Direction(read);
        writing = new Direction(write);
    }

    // ---- Heads ----

    void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the first line of a head; returns null if the connection ended before it. */
    String readFirstLine() throws IOException {
        final int first = in.read();
        return first < 0 ? null : (char) first + readLine();
    }

    /** Reads the rest of a head; names are in lower case. */
    Map<String, String> readHeaders() throws IOException {
        final Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    String readLine() throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 || line.length() > MAX_LINE_BYTES) {
                throw new IOException("connection ended within a line, or line too long");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    // ---- Bodies ----

    /** Reads some bytes of a body at the read speed; returns -1 at the end of the connection. */
    int read(byte[] into, long maxBytes) throws IOException {
        final int wanted = reading.next((int) Math.min(into.length, maxBytes));
        return in.read(into, 0, wanted);
    }

    /** Writes bytes of a body at the write speed. */
    void write(byte[] bytes, int count) throws IOException {
        for (int at = 0; at < count; ) {
            final int now = writing.next(count - at);
            out.write(bytes, at, now);
            at += now;
        }
    }

    /** Resets the connection, as a crashing process does. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The progress of one direction. */
    private final class Direction {
        private final TransferProfile speed;
        private final TokenBucket bucket;
        private long at;
        private boolean stalled;

        Direction(TransferProfile speed) {
            this.speed = speed;
            this.bucket =
                    new TokenBucket(
                            speed.bytesPerS(),
                            Math.max(1, Math.min(BLOCK, speed.bytesPerS() / 10)),
                            System.nanoTime());
        }

        /** Waits until some of these bytes may be transferred and returns how many. */
        int next(int wanted) throws IOException {
            if (speed.resetAt() >= 0 && at >= speed.resetAt()) {
                reset();
                throw new SocketException("connection reset by the configured fault");
            }
            if (speed.stallAt() >= 0 && at >= speed.stallAt() && !stalled) {
                stalled = true;
                sleepNs(speed.stallMs() * MS);
            }
            final long nextFaultAt =
                    !stalled && speed.stallAt() > at
                            ? speed.stallAt()
                            : speed.resetAt() > at ? speed.resetAt() : Long.MAX_VALUE;
            final long bounded = Math.min(wanted, nextFaultAt - at);
            long free = bucket.take(bounded, System.nanoTime());
            while (free == 0) {
                sleepNs(bucket.nsUntilAvailable(bounded));
                free = bucket.take(bounded, System.nanoTime());
            }
            at += free;
            return (int) free;
        }
    }

    private static void sleepNs(long ns) throws IOException {
        LockSupport.parkNanos(Math.max(1, ns));
        if (Thread.interrupted()) {
            throw new IOException("interrupted while waiting for the transfer rate");
        }
    }
}

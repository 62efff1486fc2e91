package cresschute.testbed.bodies;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Workers that receive and produce long bodies. The path of a job controls the worker: {@code in}
 * and {@code out} are its speeds in bytes per second, {@code result} is the length of the result,
 * and {@code reset} and {@code stall} are the byte of the body, or of the result, at which the
 * connection is reset or the transfer stalls. Uses one thread per connection.
 */
public final class BodyWorker implements AutoCloseable {

    private static final int BACKLOG = 512;
    private static final int STALL_MS = 3_600_000;
    private static final Pattern PARAMETER = Pattern.compile("([a-z]+)=([0-9]+)");

    private final ServerSocket server;
    private final Set<PacedSocket> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, LongAdder> runs;
    private final LongAdder corruptedBodies;

    /**
     * Listens on a free port of the loopback address.
     *
     * @param runs counts how often each job has run, that is, its complete body has arrived
     * @param corruptedBodies counts bodies with a wrong byte
     */
    public BodyWorker(Map<String, LongAdder> runs, LongAdder corruptedBodies) throws IOException {
        this.runs = runs;
        this.corruptedBodies = corruptedBodies;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    static void daemon(Runnable run) {
        final Thread thread = new Thread(run, "lab-body");
        thread.setDaemon(true);
        thread.start();
    }

    /** The listening address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                // The listener is closed.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        PacedSocket connection = null;
        try (PacedSocket paced = new PacedSocket(socket)) {
            connection = paced;
            connections.add(paced);
            for (String first = paced.readFirstLine();
                    first != null;
                    first = paced.readFirstLine()) {
                serve(paced, first);
            }
        } catch (IOException e) {
            // The node closed the connection, or it broke as requested; the other side reports the
            // error.
            return;
        } finally {
            if (connection != null) {
                connections.remove(connection);
            }
        }
    }

    private void serve(PacedSocket connection, String first) throws IOException {
        final Map<String, String> headers = connection.readHeaders();
        final String id = headers.get("x-request-id");
        final long result = parameter(first, "result", 0);
        final TransferProfile in = TransferProfile.of(parameter(first, "in", 0));
        final TransferProfile out = TransferProfile.of(parameter(first, "out", 0));
        final long stall = parameter(first, "stall", -1);
        final long reset = parameter(first, "reset", -1);
        final boolean faultOnInput = result == 0;
        connection.speeds(
                faultOnInput ? withFaults(in, stall, reset) : in,
                faultOnInput ? out : withFaults(out, stall, reset));
        final HttpBody body = new HttpBody(connection, headers);
        final SeededBytes expected = new SeededBytes(id);
        final byte[] block = new byte[PacedSocket.BLOCK];
        boolean same = true;
        for (int count = body.read(block); count >= 0; count = body.read(block)) {
            same &= body.isSmall() || expected.isNext(block, count);
        }
        if (!same) {
            corruptedBodies.increment();
        }
        runs.computeIfAbsent(id, unseen -> new LongAdder()).increment();
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(connection, "{\"id\":\"" + id + "\",\"state\":\"started\"}\n");
        if (result == 0) {
            chunk(
                    connection,
                    "{\"id\":\""
                            + id
                            + "\",\"state\":\"done\",\"result\":\""
                            + expected.count()
                            + " "
                            + expected.sum()
                            + "\"}\n");
            connection.write("0\r\n\r\n");
            return;
        }
        chunk(
                connection,
                "{\"id\":\""
                        + id
                        + "\",\"state\":\"result\",\"type\":\"application/octet-stream\"}\n");
        final SeededBytes made = new SeededBytes(id);
        for (long left = result; left > 0; ) {
            final int count = (int) Math.min(left, block.length);
            made.fill(block, count);
            connection.write(Integer.toHexString(count) + "\r\n");
            connection.write(block, count);
            connection.write("\r\n");
            left -= count;
        }
        connection.write("0\r\nX-Job-State: done\r\n\r\n");
    }

    private static TransferProfile withFaults(TransferProfile speed, long stall, long reset) {
        final TransferProfile stalling = stall < 0 ? speed : speed.stalling(stall, STALL_MS);
        return reset < 0 ? stalling : stalling.resetting(reset);
    }

    private static void chunk(PacedSocket connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static long parameter(String first, String name, long defaultValue) {
        final Matcher matcher = PARAMETER.matcher(first);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        return defaultValue;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (final PacedSocket each : connections) {
            each.close();
        }
    }
}

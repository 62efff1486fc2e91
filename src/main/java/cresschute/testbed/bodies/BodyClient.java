package cresschute.testbed.bodies;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client that sends one long body or reads one long result, each at its own speed. Uses one
 * thread.
 */
final class BodyClient {

    private static final int OK = 200;
    private static final int SMALL_WINDOW = 64 * 1024;

    /**
     * The transfer to perform.
     *
     * @param target the path of the job, which tells the worker what to do
     * @param upload length of the body, bytes
     * @param up profile of sending
     * @param down profile of reading
     * @param leaveAfter bytes of the result after which the client closes the connection, or -1
     * @param ownLines whether the lines of the worker precede the result, as without a node in
     *     between
     */
    record Plan(
            InetSocketAddress to,
            String id,
            String target,
            long upload,
            boolean chunked,
            TransferProfile up,
            TransferProfile down,
            long leaveAfter,
            boolean ownLines) {}

    /**
     * The result of a transfer.
     *
     * @param status the status of the response, or 0 if none arrived
     * @param complete whether the body of the response ended as expected and each byte was correct
     * @param bytes bytes of the body sent or of the result received
     */
    record Result(int status, boolean complete, long bytes, long ns, String text) {}

    private BodyClient() {}

    static Result run(Plan plan) {
        final long startNs = System.nanoTime();
        int status = 0;
        long sent = 0;
        final SeededBytes expected = new SeededBytes(plan.id());
        final StringBuilder text = new StringBuilder();
        boolean complete = false;
        try (Socket socket = new Socket()) {
            if (plan.down().bytesPerS() > 0) {
                // Received bytes that wait in the kernel's buffer count as transferred, so the
                // buffer is kept small.
                socket.setReceiveBufferSize(SMALL_WINDOW);
            }
            socket.connect(plan.to());
            final PacedSocket connection = new PacedSocket(socket);
            connection.speeds(plan.down(), plan.up());
            sent = send(plan, connection);
            final String first = connection.readFirstLine();
            if (first != null) {
                status = Integer.parseInt(first.split(" ")[1]);
                final HttpBody body = new HttpBody(connection, connection.readHeaders());
                complete = read(plan, body, status, expected, text);
            }
        } catch (IOException e) {
            // The returned count shows how far the transfer came.
            text.append(e.getMessage());
        }
        return new Result(
                status,
                complete,
                Math.max(sent, expected.count()),
                System.nanoTime() - startNs,
                text.toString());
    }

    private static long send(Plan plan, PacedSocket connection) throws IOException {
        connection.write(
                "POST "
                        + plan.target()
                        + " HTTP/1.1\r\nHost: node\r\nX-Request-Id: "
                        + plan.id()
                        + "\r\n"
                        + (plan.chunked()
                                ? "Transfer-Encoding: chunked"
                                : "Content-Length: " + plan.upload())
                        + "\r\n\r\n");
        final SeededBytes made = new SeededBytes(plan.id());
        final byte[] block = new byte[PacedSocket.BLOCK];
        try {
            for (long left = plan.upload(); left > 0; ) {
                final int count = (int) Math.min(left, block.length);
                made.fill(block, count);
                connection.write(plan.chunked() ? Integer.toHexString(count) + "\r\n" : "");
                connection.write(block, count);
                connection.write(plan.chunked() ? "\r\n" : "");
                left -= count;
            }
            connection.write(plan.chunked() ? "0\r\n\r\n" : "");
        } catch (IOException e) {
            // The node closed the connection; its response may still be readable.
            return made.count();
        }
        return made.count();
    }

    private static boolean read(
            Plan plan, HttpBody body, int status, SeededBytes expected, StringBuilder text)
            throws IOException {
        final byte[] block = new byte[PacedSocket.BLOCK];
        final boolean isResult = status == OK && plan.target().contains("result=");
        boolean lines = plan.ownLines();
        boolean same = true;
        for (int count = body.read(block); count >= 0; count = body.read(block)) {
            final String shown =
                    isResult && !lines
                            ? ""
                            : new String(block, 0, count, StandardCharsets.ISO_8859_1);
            if (!isResult || lines) {
                text.append(shown);
                lines = !shown.contains("\"result\"");
                continue;
            }
            same &= expected.isNext(block, count);
            if (plan.leaveAfter() >= 0 && expected.count() >= plan.leaveAfter()) {
                return false;
            }
        }
        return same;
    }
}

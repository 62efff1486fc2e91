package cresschute;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A console for tests: writes lines or parts of lines to the control socket and reads the node's
 * lines.
 */
public final class TestConsole implements Closeable {

    private final SocketChannel channel;
    private final BufferedReader in;
    private int lastId;

    /** Connects to a node's control socket. */
    public TestConsole(Path socket) throws IOException {
        channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
        in = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    /** Writes a text unchanged. */
    public TestConsole write(String text) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
        return this;
    }

    /** Reads the next line; returns null at the end of the stream. */
    public JsonObject read() throws IOException {
        final String line = in.readLine();
        return line == null ? null : JsonParser.parseString(line).getAsJsonObject();
    }

    /**
     * Sends a request with these fields and returns its answer; skips other lines before the
     * answer.
     */
    public JsonObject ask(String fields) throws IOException {
        final String id = "t" + ++lastId;
        write("{\"v\":1,\"id\":\"" + id + "\"," + fields + "}\n");
        JsonObject line = read();
        while (line != null && !(line.has("re") && line.get("re").getAsString().equals(id))) {
            line = read();
        }
        assertThat(line).as("answer to " + fields).isNotNull();
        return line;
    }

    /** Sends an operation and returns its outcome and reason. */
    public String operate(String command, String operationId, String worker) throws IOException {
        final JsonObject answer = ask(operation(command, operationId, worker));
        return answer.get("outcome").getAsString() + ": " + answer.get("why").getAsString();
    }

    /** Returns the fields of an operation on a worker by operator {@code ann}. */
    public static String operation(String command, String operationId, String worker) {
        return "\"do\":\""
                + command
                + "\",\"op\":\""
                + operationId
                + "\",\"worker\":\""
                + worker
                + "\",\"who\":\"ann\"";
    }

    /** Requests the rows and returns the row of a worker. */
    public JsonObject worker(String id) throws IOException {
        return ask("\"do\":\"workers\"").getAsJsonObject("rows").getAsJsonObject("w/" + id);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

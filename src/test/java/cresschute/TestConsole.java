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

/** A console driven by hand: writes lines, or parts of them, and reads the node's. */
public final class TestConsole implements Closeable {

    private final SocketChannel channel;
    private final BufferedReader in;
    private int last;

    /** Connects to a node's control socket. */
    public TestConsole(Path socket) throws IOException {
        channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
        in = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    /** Writes bytes as they are. */
    public TestConsole write(String text) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
        return this;
    }

    /** The next line, or null at the end. */
    public JsonObject read() throws IOException {
        final String line = in.readLine();
        return line == null ? null : JsonParser.parseString(line).getAsJsonObject();
    }

    /**
     * Sends a request with these fields and returns its answer; other lines before it are passed
     * over.
     */
    public JsonObject ask(String fields) throws IOException {
        final String id = "t" + ++last;
        write("{\"v\":1,\"id\":\"" + id + "\"," + fields + "}\n");
        JsonObject line = read();
        while (line != null && !(line.has("re") && line.get("re").getAsString().equals(id))) {
            line = read();
        }
        assertThat(line).as("an answer to " + fields).isNotNull();
        return line;
    }

    /** The outcome of an operation. */
    public String operate(String what, String op, String worker) throws IOException {
        final JsonObject answer = ask(operation(what, op, worker));
        return answer.get("outcome").getAsString() + ": " + answer.get("why").getAsString();
    }

    /** The fields of an operation on a worker, in the name of operator {@code ann}. */
    public static String operation(String what, String op, String worker) {
        return "\"do\":\""
                + what
                + "\",\"op\":\""
                + op
                + "\",\"worker\":\""
                + worker
                + "\",\"who\":\"ann\"";
    }

    /** A worker's row as the node shows it now. */
    public JsonObject worker(String id) throws IOException {
        return ask("\"do\":\"workers\"").getAsJsonObject("rows").getAsJsonObject("w/" + id);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

package cresschute.console;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import cresschute.control.ControlRequest;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.SocketException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A connection to a node's control socket. Its own thread reads the lines and passes each one to a
 * callback, which may block. {@link #send} must be called by one thread at a time.
 */
public final class ControlLink implements AutoCloseable {

    private final SocketChannel channel;
    private final Thread reader;

    private ControlLink(SocketChannel channel, Consumer<JsonObject> lines, Consumer<String> ended) {
        this.channel = channel;
        reader = new Thread(() -> read(lines, ended), "control-link");
        reader.setDaemon(true);
    }

    /**
     * Connects to a node and starts reading.
     *
     * @param lines receives each line, on the link's thread
     * @param ended receives, once and on the link's thread, the reason why no more lines follow
     */
    public static ControlLink open(Path socket, Consumer<JsonObject> lines, Consumer<String> ended)
            throws IOException {
        final SocketChannel channel;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
        } catch (SocketException e) {
            throw new IOException(
                    "no node answers at "
                            + socket
                            + " ("
                            + e.getMessage()
                            + "); is it running, and does its settings script name this control"
                            + " socket?",
                    e);
        } catch (IllegalArgumentException e) {
            throw new IOException(socket + " is not a usable socket path: " + e.getMessage(), e);
        }
        final ControlLink link = new ControlLink(channel, lines, ended);
        link.reader.start();
        return link;
    }

    private void read(Consumer<JsonObject> lines, Consumer<String> ended) {
        String reason = "the node closed the connection";
        try (BufferedReader in =
                new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8))) {
            String line = in.readLine();
            while (line != null) {
                lines.accept(JsonParser.parseString(line).getAsJsonObject());
                line = in.readLine();
            }
        } catch (IOException e) {
            reason = "connection to the node failed: " + e.getMessage();
        } catch (JsonParseException | IllegalStateException e) {
            // A killed node, for example, leaves an incomplete line.
            reason = "the node sent a line that is incomplete or not a JSON object";
        }
        ended.accept(reason);
    }

    /**
     * A request with the protocol version and no further fields.
     *
     * @param id returned with the answer
     * @param type the operation, such as {@code drain}
     */
    public static JsonObject request(String id, String type) {
        final JsonObject request = new JsonObject();
        request.addProperty("v", ControlRequest.VERSION);
        request.addProperty("id", id);
        request.addProperty("do", type);
        return request;
    }

    /** A request with further fields; values are strings, numbers or booleans. */
    public static JsonObject request(String id, String type, Map<String, Object> fields) {
        final JsonObject request = request(id, type);
        fields.forEach(
                (name, value) -> {
                    if (value instanceof Number number) {
                        request.addProperty(name, number);
                    } else if (value instanceof Boolean flag) {
                        request.addProperty(name, flag);
                    } else {
                        request.addProperty(name, String.valueOf(value));
                    }
                });
        return request;
    }

    /** Writes a request and blocks until all of it is written. */
    public void send(JsonObject request) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap((request + "\n").getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // The link is of no further use even if its channel cannot be closed.
            reader.interrupt();
        }
    }
}

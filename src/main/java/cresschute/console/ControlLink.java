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
 * A connection to a node's control socket. Lines are read by a thread of its own, which hands each
 * one over and waits while it is not taken. {@link #send} may be called from any one thread.
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
     * Connects.
     *
     * @param lines receives each line, on the link's thread
     * @param ended receives once the reason why there will be no more, on the link's thread
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
                            + "); is it running, and does its script state this control socket?",
                    e);
        } catch (IllegalArgumentException e) {
            throw new IOException(socket + " is no control socket: " + e.getMessage(), e);
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
            reason = "the connection broke: " + e.getMessage();
        } catch (JsonParseException | IllegalStateException e) {
            // Also a line that was cut off in its middle, as by a node that was killed.
            reason = "the node's words were cut off";
        }
        ended.accept(reason);
    }

    /** A request of this kind, with its version and mark. */
    public static JsonObject request(String id, String type) {
        final JsonObject request = new JsonObject();
        request.addProperty("v", ControlRequest.VERSION);
        request.addProperty("id", id);
        request.addProperty("do", type);
        return request;
    }

    /** The same with further fields; values are texts, numbers or truth values. */
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

    /** Writes a request. */
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
            // It is of no more use either way.
            reader.interrupt();
        }
    }
}

package cresschute.control.socket;

import cresschute.control.ControlRequest;
import cresschute.control.files.PrivateFolder;
import cresschute.logs.LogEvent;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.flow.FlowControlHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The server of the control socket, a Unix domain socket to which consoles connect. It owns the
 * socket file, the listening channel and the sessions.
 *
 * <p>Access is controlled by file permissions: mode 0600 in a folder with mode 0700. Life cycle:
 * {@link #listen} once, {@link #close} once. All methods run on the node's event loop, except
 * {@link #listen}, which blocks.
 */
public final class ControlServer {

    /** Maximum number of sessions. */
    public static final int MAX_SESSIONS = 16;

    /**
     * High water mark of the bytes not yet written to a console. Above it, nothing is read from the
     * console and no update is sent to it.
     */
    static final int HIGH_WATER_MARK_BYTES = 512 * 1024;

    /**
     * Low water mark: a console that exceeded {@link #HIGH_WATER_MARK_BYTES} is served again below
     * it.
     */
    private static final int LOW_WATER_MARK_BYTES = 64 * 1024;

    private static final Set<PosixFilePermission> NON_OWNER_PERMISSIONS =
            EnumSet.of(
                    PosixFilePermission.GROUP_READ,
                    PosixFilePermission.GROUP_WRITE,
                    PosixFilePermission.GROUP_EXECUTE,
                    PosixFilePermission.OTHERS_READ,
                    PosixFilePermission.OTHERS_WRITE,
                    PosixFilePermission.OTHERS_EXECUTE);
    private static final Logger LOG = System.getLogger("cresschute.control");

    private final EventLoop loop;
    private final Path file;
    private final ControlHandler handler;
    private final Set<ControlSession> sessions = new LinkedHashSet<>();
    private Channel server;
    private long lastSessionNumber;

    /** Creates a server that does not listen yet. */
    public ControlServer(EventLoop loop, Path file, ControlHandler handler) {
        this.loop = loop;
        this.file = file;
        this.handler = handler;
    }

    /**
     * Binds the socket and starts to accept consoles. Blocks; do not call on the event loop.
     *
     * @throws ControlSocketInUseException if another node listens there
     * @throws IOException if group or others can access the folder, or the socket cannot be created
     */
    public void listen() throws IOException {
        createPrivateFolder();
        removeStaleSocket();
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerDomainSocketChannel.class)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(UnixDomainSocketAddress.of(file))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on the control socket "
                            + file
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        server = bound.channel();
        // Until this call the mode of the folder denies access to other users.
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        LogEvent.of("control_listening", "consoles can connect at " + file)
                .with("file", file)
                .log(LOG, Level.INFO);
    }

    private void createPrivateFolder() throws IOException {
        final Path folder = file.toAbsolutePath().getParent();
        PrivateFolder.create(folder);
        final Set<PosixFilePermission> granted = EnumSet.copyOf(NON_OWNER_PERMISSIONS);
        granted.retainAll(Files.getPosixFilePermissions(folder));
        if (!granted.isEmpty()) {
            throw new IOException(
                    "the folder of the control socket, "
                            + folder
                            + ", is open to others; chmod 700 it or name another");
        }
    }

    /**
     * Removes the socket file of a node that was killed. A socket that accepts connections belongs
     * to a running node.
     */
    private void removeStaleSocket() throws IOException {
        if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
            return;
        }
        if (Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.isDirectory(file)) {
            throw new IOException(
                    file
                            + " exists and is not a socket; configure another file for the control"
                            + " socket");
        }
        if (acceptsConnections()) {
            throw new ControlSocketInUseException(file);
        }
        Files.delete(file);
    }

    private boolean acceptsConnections() {
        try {
            SocketChannel.open(UnixDomainSocketAddress.of(file)).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void accept(Channel channel) {
        final ControlSession session = new ControlSession(++lastSessionNumber, channel, handler);
        if (sessions.size() >= MAX_SESSIONS) {
            session.reject("there are " + MAX_SESSIONS + " consoles already; close one first");
            return;
        }
        sessions.add(session);
        channel.closeFuture().addListener(closed -> sessions.remove(session));
        // One read can return many short requests. FlowControlHandler passes them on one at a time,
        // so that no request is answered while the write buffer is above the high water mark.
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(ControlRequest.MAX_LINE_LENGTH),
                        new FlowControlHandler(),
                        session);
    }

    /** Returns whether any console has subscribed to rows. */
    public boolean hasSubscribers() {
        return sessions.stream().anyMatch(ControlSession::isSubscribed);
    }

    /** Returns the number of connected consoles. */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Sends each console its pending changes, unless its write buffer is above the high water mark.
     * Call a few times a second.
     *
     * @param nowUs time of the event loop's clock, microseconds
     */
    public void publish(long nowUs) {
        for (final ControlSession session : new ArrayList<>(sessions)) {
            session.publish(nowUs);
        }
    }

    /**
     * Closes the listener and all sessions, and removes the socket file. Call on the event loop.
     */
    public void close() {
        if (server != null) {
            server.close();
            new ArrayList<>(sessions).forEach(ControlSession::close);
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                // The next start removes the file, because no node accepts connections there.
                LogEvent.of(
                                "control_file_left",
                                "could not delete the control socket "
                                        + file
                                        + "; the next start removes it")
                        .withCause(e)
                        .log(LOG, Level.WARNING);
            }
        }
    }
}

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
 * The Unix domain socket at which consoles connect. It owns the socket file, the listening channel
 * and the sessions.
 *
 * <p>The file's mode is the permission: 0600 in a folder of 0700. Life: {@link #listen} once,
 * {@link #close} once. All of it is on the node's loop, save {@link #listen}, which blocks.
 */
public final class ControlServer {

    /** Sessions at a time. */
    public static final int MAX_SESSIONS = 16;

    /** Bytes that may wait for a console; above it, nothing is read from it and no update sent. */
    static final int MAX_UNREAD_BYTES = 512 * 1024;

    /** Bytes below which a console that was above {@link #MAX_UNREAD_BYTES} is served again. */
    private static final int LOW_UNREAD_BYTES = 64 * 1024;

    private static final Set<PosixFilePermission> PERMISSIONS_OF_OTHERS =
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
    private long lastSession;

    /** A server that does not listen yet. */
    public ControlServer(EventLoop loop, Path file, ControlHandler handler) {
        this.loop = loop;
        this.file = file;
        this.handler = handler;
    }

    /**
     * Listens. Blocks, so not on the loop.
     *
     * @throws ControlSocketInUseException if another node listens there
     * @throws IOException if the folder is open to others, or the socket cannot be made
     */
    public void listen() throws IOException {
        makePrivateFolder();
        removeStaleSocket();
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerDomainSocketChannel.class)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_UNREAD_BYTES, MAX_UNREAD_BYTES))
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
        // Between bind and this the mode of the folder keeps others out.
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        LogEvent.of("control_listening", "consoles can connect at " + file)
                .with("file", file)
                .log(LOG, Level.INFO);
    }

    private void makePrivateFolder() throws IOException {
        final Path folder = file.toAbsolutePath().getParent();
        PrivateFolder.create(folder);
        final Set<PosixFilePermission> granted = EnumSet.copyOf(PERMISSIONS_OF_OTHERS);
        granted.retainAll(Files.getPosixFilePermissions(folder));
        if (!granted.isEmpty()) {
            throw new IOException(
                    "the folder of the control socket, "
                            + folder
                            + ", is open to others; chmod 700 it or name another");
        }
    }

    /** Removes the socket of a node that was killed; one that answers is another node's. */
    private void removeStaleSocket() throws IOException {
        if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
            return;
        }
        if (Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.isDirectory(file)) {
            throw new IOException(
                    file
                            + " is there and is no socket; name another file for the control"
                            + " socket");
        }
        if (isAnswered()) {
            throw new ControlSocketInUseException(file);
        }
        Files.delete(file);
    }

    private boolean isAnswered() {
        try {
            SocketChannel.open(UnixDomainSocketAddress.of(file)).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void accept(Channel channel) {
        final ControlSession session = new ControlSession(++lastSession, channel, handler);
        if (sessions.size() >= MAX_SESSIONS) {
            session.reject("there are " + MAX_SESSIONS + " consoles already; close one first");
            return;
        }
        sessions.add(session);
        channel.closeFuture().addListener(closed -> sessions.remove(session));
        // One read can bring many short requests: the flow control passes them on one by one, so
        // that none is answered while too much of the earlier answers is unread.
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(ControlRequest.MAX_LINE_LENGTH),
                        new FlowControlHandler(),
                        session);
    }

    /** Whether any console subscribed to rows. */
    public boolean hasSubscribers() {
        return sessions.stream().anyMatch(ControlSession::isSubscribed);
    }

    /** The number of connected consoles. */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Sends each console what changed for it, as far as it reads; called a few times a second.
     *
     * @param nowUs the loop's clock, us
     */
    public void publish(long nowUs) {
        for (final ControlSession session : new ArrayList<>(sessions)) {
            session.publish(nowUs);
        }
    }

    /** Closes the listener and all sessions, and removes the socket file. On the loop. */
    public void close() {
        if (server != null) {
            server.close();
            new ArrayList<>(sessions).forEach(ControlSession::close);
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                // The next start finds that nobody listens there, and removes it.
                LogEvent.of("control_file_left", "the control socket " + file + " was left behind")
                        .withCause(e)
                        .log(LOG, Level.WARNING);
            }
        }
    }
}
